package admission

import "time"

const (
	// serviceStatsGain is the weight of the newest request in the exponentially
	// weighted means of serviceStats.
	serviceStatsGain = 0.05
	// stallServiceTimes is the number of mean service times that may pass
	// without a completion before the server counts as stalled.
	stallServiceTimes = 2
	// retrySlotShare is the share of an organisation's slots that is planned
	// for the retries of refused callers.
	retrySlotShare = 0.15
	// waitMargin is the factor by which the estimated wait is increased when a
	// new request is checked against its deadline, because requests that arrive
	// later may start earlier.
	waitMargin = 1.25
)

// serviceStats compares the server's service times with the expected ones.
type serviceStats struct {
	// slowdown is the mean of the actual service time divided by the expected
	// one.
	slowdown float64
	// meanServiceTime is the mean actual service time in seconds.
	meanServiceTime float64
	lastCompletion  time.Time
}

func newServiceStats() serviceStats { return serviceStats{slowdown: 1} }

// recordCompletion updates the means with an item that has just ended.
func (s *serviceStats) recordCompletion(i *Item, now time.Time) {
	s.lastCompletion = now
	serviceTime := now.Sub(i.started).Seconds()
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
	}
	s.meanServiceTime += serviceStatsGain * (serviceTime - s.meanServiceTime)
	if expected := i.cost(); expected > 0 {
		s.slowdown += serviceStatsGain * (serviceTime/expected - s.slowdown)
	}
}

// stallSeconds returns by how many seconds the time since the last completion
// exceeds stallServiceTimes mean service times.
func (s *serviceStats) stallSeconds(now time.Time) float64 {
	if s.lastCompletion.IsZero() {
		return 0
	}
	sinceCompletion := now.Sub(s.lastCompletion).Seconds()
	return max(0, sinceCompletion-stallServiceTimes*s.meanServiceTime)
}

// estimateWait estimates the remaining wait of a waiting item, assuming that no
// organisation below its share sends more requests meanwhile.
func (q *Queue) estimateWait(i *Item, now time.Time) time.Duration {
	o := q.organisationFor(i)
	ownWork := o.workBefore(i)
	startTag := o.finishTag + ownWork/o.weight - q.priorityLead(i.Priority)
	work := ownWork
	for _, other := range q.backlogged {
		if other == o {
			continue
		}
		servedBefore := (startTag - q.startTag(other)) * other.weight
		work += min(max(0, servedBefore), other.waitingWork)
	}
	if q.running >= q.cfg.Slots {
		work += q.stats.meanServiceTime
	}
	seconds := work*q.stats.slowdown/float64(q.cfg.Slots) + q.stats.stallSeconds(now)
	return time.Duration(seconds * float64(time.Second))
}

// workBefore returns the organisation's own work that starts before i, in slot
// seconds.
func (o *organisation) workBefore(i *Item) float64 {
	var work float64
	for p, items := range o.waiting[:i.Priority+1] {
		for _, other := range items {
			if other == i {
				break
			}
			if p <= int(i.Priority) {
				work += other.cost()
			}
		}
	}
	return work
}

// retryAfter returns the delay after which a retry of i should be accepted. It
// covers the time until the organisation's waiting work has drained far enough,
// and the retries of callers that were refused earlier. Retries are planned for
// only retrySlotShare of the organisation's slots, so that they do not cause
// the next overload.
func (q *Queue) retryAfter(i *Item, now time.Time) time.Duration {
	o := q.organisationFor(i)
	lateBy := now.Add(q.estimateWait(i, now)).Sub(i.latestStart())
	retrySlots := q.slotShare(o) * retrySlotShare
	elapsed := now.Sub(q.epoch).Seconds()
	o.retryWork = max(0, o.retryWork-retrySlots*(elapsed-o.retryWorkAt))
	o.retryWorkAt = elapsed
	retryDelay := time.Duration(o.retryWork / retrySlots * float64(time.Second))
	o.retryWork += i.cost() * q.stats.slowdown
	return q.capRetryAfter(max(lateBy, q.cfg.MinRetryAfter) + retryDelay)
}

// capRetryAfter limits d to MaxRetryAfter. It maps longer delays to different
// values between half of MaxRetryAfter and MaxRetryAfter, so that not all
// callers retry at the same time.
func (q *Queue) capRetryAfter(d time.Duration) time.Duration {
	if d <= q.cfg.MaxRetryAfter {
		return d
	}
	half := q.cfg.MaxRetryAfter / 2
	return half + d%half
}

// slotShare returns the number of slots that the organisation gets while all
// backlogged organisations stay backlogged.
func (q *Queue) slotShare(o *organisation) float64 {
	total := 0.0
	for _, other := range q.backlogged {
		total += other.weight
	}
	return float64(q.cfg.Slots) * o.weight / max(total, o.weight)
}
