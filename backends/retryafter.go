package backends

import (
	"time"
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

// retryAfterOverload returns how long a caller should wait before it retries after
// a refusal for load: at least until the requests that wait now have been served.
// Jitter spreads the retries.
func (d *Directory) retryAfterOverload(wait time.Duration) time.Duration {
	return d.withJitter(max(wait, overloadRetryAfter), overloadRetryJitter)
}

// withJitter adds a random delay below jitter to base, so that callers refused
// together do not retry together.
func (d *Directory) withJitter(base, jitter time.Duration) time.Duration {
	return base + time.Duration(d.rng.Int64N(int64(jitter)))
}
