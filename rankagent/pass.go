package rankagent

import "time"

const (
	// passSpan is how long passes are counted for one value.
	passSpan = 250 * time.Millisecond
	// passWeight is the weight of a new value against the mean of earlier ones.
	passWeight = 0.6
)

// passMeter measures how long the passes of a group take. An idle group makes
// none, so only time in which the own rank works counts. It is not safe for
// concurrent use.
type passMeter struct {
	// mean is zero while nothing is known.
	mean  time.Duration
	epoch uint64
	step  uint64
	since time.Time
}

func (p *passMeter) observe(r Report, now time.Time) {
	if r.Running == 0 || r.State.Epoch != p.epoch || r.State.Step < p.step {
		*p = passMeter{epoch: r.State.Epoch, step: r.State.Step, since: now}
		return
	}
	passes := r.State.Step - p.step
	span := now.Sub(p.since)
	if span < passSpan || passes == 0 {
		return
	}
	each := span / time.Duration(passes)
	if p.mean > 0 {
		each = time.Duration(passWeight*float64(each) + (1-passWeight)*float64(p.mean))
	}
	p.mean, p.step, p.since = each, r.State.Step, now
}
