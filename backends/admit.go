package backends

import (
	"time"

	"bluebellwind.example/admission"
)

const (
	// newMaxWaitShare is the share of the objective that a new request may wait
	// for a slot; the rest of the objective is left for reading the prompt.
	newMaxWaitShare = 0.5
	// refusedBeforeMaxWait is how long a request may wait for a slot if its caller
	// retries after a refusal: it has missed its objective already, and callers
	// do not retry a second time. It also applies to the slots of late groups.
	refusedBeforeMaxWait = 400 * time.Millisecond
	// sentBeforeMaxWait is how long a request may wait for a slot after it was sent
	// to another server: a refusal would waste the work that is done already.
	sentBeforeMaxWait = 2 * time.Second
	// maxWaitShare is the share of the time left until the caller's deadline that
	// any request may wait for a slot.
	maxWaitShare = 0.4
	// maxAnswerShare is the share of the time left until the caller's deadline
	// that the estimated generation of the answer may take.
	maxAnswerShare = 0.8
)

// alreadyLate reports whether the request misses its objective whichever server
// takes it.
func (r *PickRequest) alreadyLate() bool { return r.RefusedBefore || r.SentBefore }

// maxWait returns how long the request may wait for a slot of the pool of late
// groups if latePool is set, and of the other groups if not. A new request that
// would wait longer is refused at once, because queueing it would delay all
// requests behind it past their objectives too.
func (r *PickRequest) maxWait(latePool bool) time.Duration {
	limit := time.Duration(newMaxWaitShare * float64(r.StartObjective))
	switch {
	case r.SentBefore:
		limit = sentBeforeMaxWait
	case r.RefusedBefore || latePool:
		limit = refusedBeforeMaxWait
	}
	if r.share != nil && !r.SentBefore {
		limit = time.Duration(r.share.WaitFactor * float64(limit))
	}
	if r.UntilDeadline > 0 {
		limit = min(limit, time.Duration(maxWaitShare*float64(r.UntilDeadline)))
	}
	return limit
}

// meetsDeadline reports whether the pool can complete the answer within
// maxAnswerShare of the time left until the caller's deadline. It returns true if
// the length of the answer or the deadline is not known, and for a request that was
// sent to a server before.
func (r *PickRequest) meetsDeadline(p *pool) bool {
	e := r.Service.Engine
	if r.UntilDeadline == 0 || r.AnswerTokens == 0 || r.SentBefore {
		return true
	}
	answerTime := p.passTime * time.Duration(r.AnswerTokens) / time.Duration(max(1, e.Stride))
	return answerTime <= time.Duration(maxAnswerShare*float64(r.UntilDeadline))
}

// decision is the result of admission control. The request is refused unless
// admitted is set.
type decision struct {
	admitted bool
	// latePool selects the pool of late groups; false selects the pool of the
	// other groups.
	latePool bool
	// expectedWait is the shortest estimated wait for a slot, maxWait the longest
	// wait that is allowed for the request.
	expectedWait, maxWait time.Duration
	// reserve is the number of slots reserved for more urgent requests, and ahead the number
	// of requests that wait ahead of the request.
	reserve, ahead float64
}

// admit decides whether a request is accepted, and by which pool. Requests that
// can still meet their objective prefer groups that are on time. Requests that are
// already late prefer late groups, which leaves the slots of the others free. A
// request is placed in a late group that cannot meet its deadline only if there are
// no other groups.
func admit(r *PickRequest, onTime, late *pool, demand *admission.Demand) decision {
	latePoolOrder := []bool{false, true}
	if r.alreadyLate() {
		latePoolOrder = []bool{true, false}
	}
	var shortest decision
	for _, useLate := range latePoolOrder {
		p := onTime
		if useLate {
			p = late
		}
		if p.groups == 0 {
			continue
		}
		estimate := p.estimateWait(r, demand)
		d := decision{latePool: useLate, expectedWait: estimate.Wait, reserve: estimate.Reserve, ahead: estimate.Ahead, maxWait: r.maxWait(useLate)}
		if d.expectedWait <= d.maxWait && (!useLate || r.meetsDeadline(p) || onTime.groups == 0) {
			d.admitted = true
			return d
		}
		if shortest.maxWait == 0 || d.expectedWait < shortest.expectedWait {
			shortest = d
		}
	}
	return shortest
}
