package backends

import "time"

const (
	// newcomerShare is the share of the objective that a new request may wait for
	// a slot and still be on time: the prompt is read after it.
	newcomerShare = 0.5
	// returnedWait is how long a request that comes back after a refusal may wait:
	// it is late anyway, and would not come a third time.
	returnedWait = 400 * time.Millisecond
	// resumedWait is how long a request may wait that a server has begun: what was
	// done for it would be lost.
	resumedWait = 2 * time.Second
	// lastShare is the share of its remaining time that a request may wait at all.
	lastShare = 0.4
	// longestShare is the share of its remaining time that an answer may take.
	longestShare = 0.8
)

// late says that the request is late wherever it goes.
func (n *Need) late() bool { return n.Returned || n.Resumed }

// patience is how long the request may wait for a slot of a pool. A new one that
// would wait longer is better refused at once, as it would make all that follow
// late as well.
func (n *Need) patience(latePool bool) time.Duration {
	limit := time.Duration(newcomerShare * float64(n.Objective))
	switch {
	case n.Resumed:
		limit = resumedWait
	case n.Returned || latePool:
		limit = returnedWait
	}
	if n.Remaining > 0 {
		limit = min(limit, time.Duration(lastShare*float64(n.Remaining)))
	}
	return limit
}

// fits says that the answer can be whole in the time that is left.
func (n *Need) fits(p *pool) bool {
	e := n.Service.Engine
	if n.Remaining == 0 || n.AnswerTokens == 0 || n.Resumed {
		return true
	}
	takes := p.pass * time.Duration(n.AnswerTokens) / time.Duration(max(1, e.Stride))
	return takes <= time.Duration(longestShare*float64(n.Remaining))
}

// decision is where a request may go. Without a pool it is refused.
type decision struct {
	admitted bool
	// late is the pool that it goes to: that of the groups whose streams are late
	// anyway, or the other.
	late bool
	// wait is the shortest expected, limit the longest that the request may.
	wait, limit time.Duration
}

// admit decides whether a request is taken, and to which groups it goes. One that
// can be on time goes to groups that are; one that is late anyway leaves their
// slots to others as long as it can.
func admit(n *Need, onTime, late *pool) decision {
	order := []bool{false, true}
	if n.late() {
		order = []bool{true, false}
	}
	var refused decision
	for _, inLate := range order {
		p := onTime
		if inLate {
			p = late
		}
		if p.groups == 0 {
			continue
		}
		d := decision{late: inLate, wait: p.wait(n.Processes), limit: n.patience(inLate)}
		if d.wait <= d.limit && (!inLate || n.fits(p) || onTime.groups == 0) {
			d.admitted = true
			return d
		}
		if refused.limit == 0 || d.wait < refused.wait {
			refused = d
		}
	}
	return refused
}
