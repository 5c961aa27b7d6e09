package opscmd

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/operatorpb"
)

// maxConcurrentCalls bounds the number of concurrent calls to instances.
const maxConcurrentCalls = 32

// Unanswered is an instance whose call failed, with the error.
type Unanswered struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// fleetState is the merged state of the fleet from the replies of the instances
// that answered.
type fleetState struct {
	answeredBy []string
	unanswered []Unanswered
	instances  []*operatorpb.Instance
	servers    []*operatorpb.Server
	limits     []*operatorpb.Limit
}

// forEachAddress runs call for all addresses with bounded concurrency and returns
// those that failed, in the order of addresses.
func forEachAddress(addresses []string, call func(i int, address string) error) []Unanswered {
	failed := make([]*Unanswered, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			if err := call(i, address); err != nil {
				failed[i] = &Unanswered{Address: address, Reason: err.Error()}
			}
		})
	}
	wg.Wait()
	var out []Unanswered
	for _, f := range failed {
		if f != nil {
			out = append(out, *f)
		}
	}
	return out
}

// queryFleet calls all instances of the command line and merges their replies. It
// returns an error if none answers.
func (c *client) queryFleet() (*fleetState, error) {
	replies := make([]*operatorpb.FleetReply, len(c.addresses))
	fleet := &fleetState{}
	fleet.unanswered = forEachAddress(c.addresses, func(i int, address string) (err error) {
		operator, ctx, cancel := c.operatorAt(address)
		defer cancel()
		replies[i], err = operator.Fleet(ctx, &operatorpb.FleetRequest{})
		return err
	})
	if len(fleet.unanswered) == len(c.addresses) {
		return nil, cli.Failure(noAnswerError(fleet.unanswered))
	}
	fleet.merge(replies)
	return fleet, nil
}

// noAnswerError returns an error with the reason for each instance.
func noAnswerError(all []Unanswered) error {
	errs := make([]error, 0, len(all))
	for _, u := range all {
		errs = append(errs, fmt.Errorf("%s: %s", u.Address, u.Reason))
	}
	return fmt.Errorf("no instance answered: %w", errors.Join(errs...))
}

// merge sets f to the merged replies. If several replies describe the same
// instance or server, the newer description is used.
func (f *fleetState) merge(replies []*operatorpb.FleetReply) {
	instances := map[string]*operatorpb.Instance{}
	servers := map[string]*operatorpb.Server{}
	limits := map[string]*operatorpb.Limit{}
	for _, r := range replies {
		if r == nil {
			continue
		}
		f.answeredBy = append(f.answeredBy, r.GetAnsweredBy())
		for _, inst := range r.GetInstances() {
			instances[inst.GetName()] = mergeInstance(instances[inst.GetName()], inst)
		}
		for _, s := range r.GetServers() {
			servers[s.GetName()] = mergeServer(servers[s.GetName()], s)
		}
		for _, l := range r.GetLimits() {
			limits[l.GetOrganisation()] = l
		}
	}
	f.instances = sortedByName(instances, (*operatorpb.Instance).GetName)
	f.servers = sortedByName(servers, (*operatorpb.Server).GetName)
	f.limits = sortedByName(limits, (*operatorpb.Limit).GetOrganisation)
	slices.Sort(f.answeredBy)
}

// sortedByName returns the values of all, sorted by name.
func sortedByName[T any](all map[string]*T, name func(*T) string) []*T {
	out := make([]*T, 0, len(all))
	for _, x := range all {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// mergeInstance merges two descriptions of one instance, of which a may be nil. It
// returns that with the higher incarnation. For the same incarnation it uses the
// newer report on the rules, and the instance is leaving if either says so.
func mergeInstance(a, b *operatorpb.Instance) *operatorpb.Instance {
	if a == nil || b.GetIncarnation() > a.GetIncarnation() {
		return b
	}
	if b.GetIncarnation() < a.GetIncarnation() {
		return a
	}
	if a.GetRules() == nil || (b.GetRules() != nil && b.GetRules().GetAgeMs() < a.GetRules().GetAgeMs()) {
		a.Rules = b.GetRules()
	}
	a.Leaving = a.GetLeaving() || b.GetLeaving()
	return a
}

// mergeServer merges two descriptions of one server, of which a may be nil. It
// prefers a server that was heard from, then the newer load.
func mergeServer(a, b *operatorpb.Server) *operatorpb.Server {
	switch {
	case a == nil || (b.GetHeard() && !a.GetHeard()):
		return b
	case !b.GetHeard():
		return a
	}
	merged := a
	if b.GetLoadAgeMs() < a.GetLoadAgeMs() {
		merged = b
	}
	merged.Suspected = a.GetSuspected() || b.GetSuspected()
	merged.Leaving = a.GetLeaving() || b.GetLeaving()
	return merged
}

// queryLagging calls the instances that seem to lag directly. The reports that
// other instances hold may be a minute old, and an instance in the platform's list
// may be running although the others do not know it yet. If an instance's address
// refuses the connection, its process has exited, and it is marked as not heard
// from.
func (c *client) queryLagging(fleet *fleetState, lags func(*operatorpb.Instance) bool) {
	var addresses []string
	var indexes []int
	for i, inst := range fleet.instances {
		if lags(inst) {
			addresses = append(addresses, inst.GetAddress())
			indexes = append(indexes, i)
		}
	}
	_ = forEachAddress(addresses, func(i int, address string) error { // On an error, what other instances reported is kept.
		operator, ctx, cancel := c.operatorAt(address)
		defer cancel()
		self, err := operator.Self(ctx, &operatorpb.SelfRequest{})
		inst := fleet.instances[indexes[i]]
		switch {
		case isConnRefused(err):
			inst.Heard = false
		case err == nil && self.GetName() == inst.GetName():
			fleet.instances[indexes[i]] = mergeInstance(inst, self)
		}
		return err
	})
}

func printUnanswered(w io.Writer, all []Unanswered) {
	for _, u := range all {
		fmt.Fprintf(w, "no answer from %s: %s\n", u.Address, u.Reason)
	}
}
