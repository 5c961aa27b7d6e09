package membership

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// ConfigSource reads the configuration service. Each call is one read request to
// the service.
type ConfigSource interface {
	// Fetch returns the current revision of the service.
	Fetch(ctx context.Context) (Revision, error)
	// Watch waits for a revision with a number above after, until ctx ends.
	Watch(ctx context.Context, after int64) (Revision, error)
}

// readAction is the way in which an instance reads the configuration service.
type readAction uint8

const (
	// readNone means that other instances read the service, or that this one is
	// superseded.
	readNone readAction = iota
	// readFetch reads once, because no peer provided a revision in time.
	readFetch
	// readWatch keeps a watch open on the service.
	readWatch
)

// RunReader reads the configuration service when this instance is one of its
// zone's readers, until ctx ends. The first readersPerZone instances of a zone,
// in rendezvous order of the live instances, keep a watch open. The others
// receive revisions from peers and read the service only if they have received
// none after a delay that grows with their rank in the order.
func (n *Node) RunReader(ctx context.Context, source ConfigSource) error {
	for {
		err := n.readOnce(ctx, source)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait := n.readCheckDelay()
		if err != nil {
			wait = n.timing.ReadRetryPeriod/2 + wait
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// readCheckDelay returns the time until the read action is determined again: a
// random time between a quarter and three quarters of ReadRetryPeriod.
func (n *Node) readCheckDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.timing.ReadRetryPeriod/4 + n.jitter(n.timing.ReadRetryPeriod/2)
}

// readOnce performs the read action that is due, if any, and offers the result
// to the store.
func (n *Node) readOnce(ctx context.Context, source ConfigSource) error {
	n.mu.Lock()
	action := n.chooseRead(n.now())
	n.mu.Unlock()
	var r Revision
	var err error
	switch action {
	case readNone:
		return nil
	case readFetch:
		r, err = source.Fetch(ctx)
	case readWatch:
		r, err = n.watch(ctx, source)
	}
	n.mu.Lock()
	if err != nil {
		n.consecutiveFailedReads++
	} else {
		n.consecutiveFailedReads = 0
	}
	n.mu.Unlock()
	if err == nil && r.Number > 0 {
		// The store records a refusal in its status.
		_, _ = n.OfferRevision(r)
	}
	return err
}

// watch waits for a revision newer than the current one and the newest refused
// one. Without a current revision it fetches one at once. If none arrives
// within WatchTimeout, it fetches the service's current revision instead, which
// reveals a service that returned to an older revision.
func (n *Node) watch(ctx context.Context, source ConfigSource) (Revision, error) {
	currentNumber := n.store.Current().Number
	if currentNumber == 0 {
		return source.Fetch(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, n.timing.WatchTimeout)
	defer cancel()
	r, err := source.Watch(watchCtx, max(currentNumber, n.store.Status().Refused.Number))
	if watchCtx.Err() != nil && ctx.Err() == nil {
		return source.Fetch(ctx)
	}
	return r, err
}

// chooseRead returns the read action of this instance, derived from its own view
// of the live instances. The caller holds n.mu.
func (n *Node) chooseRead(now time.Time) readAction {
	if n.superseded {
		return readNone
	}
	rank := n.readRank(now)
	if rank < readersPerZone {
		return readWatch
	}
	waited := now.Sub(n.started)
	if n.store.Current().Number == 0 && waited >= time.Duration(rank)*n.timing.ReadDelayPerRank {
		return readFetch
	}
	return readNone
}

// readRank returns the index of this instance in the read order of its zone.
// Instances whose reads fail come last, agents come after entries, and the
// remaining ties are broken by rendezvous order. The caller holds n.mu.
func (n *Node) readRank(now time.Time) int {
	zone := filter(n.assumedAlive(now), func(i Instance) bool {
		return i.Zone == n.self.Zone && (!i.Leaving || i.ID == n.self.ID)
	})
	ranked := rendezvousOrder("reader", zone)
	priority := make(map[string]int, len(ranked))
	for _, i := range ranked {
		priority[i.key()] = n.readPriority(i, now)
	}
	slices.SortStableFunc(ranked, func(a, b Instance) int {
		return cmp.Compare(priority[a.key()], priority[b.key()])
	})
	return rankOf(n.self, ranked)
}

// readPriority returns the first sort key of the read order; lower values read
// first.
func (n *Node) readPriority(i Instance, now time.Time) int {
	priority := 0
	if i.Role == Agent {
		priority = 1
	}
	if n.readsFailing(i, now) {
		priority += 2
	}
	return priority
}

// readsFailing reports whether the last reads of i failed: for this instance
// according to its own counter, for another one according to its status record.
func (n *Node) readsFailing(i Instance, now time.Time) bool {
	if i.ID == n.self.ID {
		return n.consecutiveFailedReads >= readFailureThreshold
	}
	o := n.table.origins[i.key()]
	if o == nil {
		return false
	}
	s, _, ok := o.status(now)
	return ok && s.GetSourceFailing()
}
