package backends

import (
	"time"

	"bluebellwind.example/admission"
)

// retryAfterUnavailable returns how long a caller should wait before it retries if
// no server can be chosen. A broken group needs seconds to reopen, and servers that
// want no requests for a time state that time; a server that is excluded on its own is
// tried again sooner. The caller holds the lock.
func (d *Directory) retryAfterUnavailable(r *PickRequest, now time.Time) time.Duration {
	if backoff := d.shortestBackoff(r, now); backoff > 0 {
		return d.withJitter(backoff, plainRetryJitter)
	}
	closed := d.closedGroups(now)
	for _, e := range d.servers {
		if e.Service == r.ServiceName && d.usable(r, e) && e.Group.Name != "" && closed[e.Group.Name] {
			return d.withJitter(groupRetryAfter, groupRetryJitter)
		}
	}
	return d.withJitter(plainRetryAfter, plainRetryJitter)
}

// shortestBackoff returns after what time the first server of a service takes requests
// again, if all of them want none for a time; zero otherwise. Servers that leave and those
// that the request may not use do not count. The caller holds the lock.
func (d *Directory) shortestBackoff(r *PickRequest, now time.Time) time.Duration {
	var shortest time.Duration
	for _, e := range d.servers {
		if e.Service != r.ServiceName || e.Draining || !d.usable(r, e) || d.withdrawals.isLeaving(&e.Server) {
			continue
		}
		backoff := d.withdrawals.backoff(&e.Server, now)
		if backoff == 0 {
			return 0
		}
		if shortest == 0 || backoff < shortest {
			shortest = backoff
		}
	}
	return shortest
}

// returnTime returns how long a caller should wait before it retries after a refusal for
// load. ok is false if no capacity is expected within the time that callers wait. The caller
// holds the lock.
func (d *Directory) returnTime(r *PickRequest, refused *decision, onTime, late *pool, now time.Time) (after time.Duration, ok bool) {
	latest := maxOverloadRetryAfter
	if r.UntilDeadline > 0 {
		latest = min(latest, time.Duration(maxReturnShare*float64(r.UntilDeadline)))
	}
	after, ok = d.demand.ReturnTime(&admission.Refusal{
		Service: r.ServiceName, Priority: r.Priority, Ahead: refused.ahead, FreedPerSecond: freedPerSecond(onTime, late),
		Earliest: max(refused.expectedWait, overloadRetryAfter), Latest: latest, Gateways: r.GatewayCount,
	}, now)
	if ok && !r.RefusedBefore && !r.CallerUninformed { // Callers return once.
		d.demand.RecordPromise(r.ServiceName, r.Priority, after, now)
	}
	return after, ok
}

// freedPerSecond returns how many slots of the pools become free in a second.
func freedPerSecond(pools ...*pool) float64 {
	freed := 0.0
	for _, p := range pools {
		if p.slots > 0 && p.serviceTime > 0 {
			freed += float64(p.slots) / p.serviceTime.Seconds()
		}
	}
	return freed
}

// withJitter adds a random delay below jitter to base, so that callers refused
// together do not retry together.
func (d *Directory) withJitter(base, jitter time.Duration) time.Duration {
	return base + time.Duration(d.rng.Int64N(int64(jitter)))
}
