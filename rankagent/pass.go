package rankagent

import "time"

const (
	// minSampleSpan is the least time over which passes are counted for one
	// sample.
	minSampleSpan = 250 * time.Millisecond
	// maxPassDuration is the longest duration that counts as that of a pass. A group
	// that begins none for longer stands still: it is held, or a rank is lost.
	maxPassDuration = time.Second
	// maxIdlePassDuration is the longest duration that counts while the local rank has
	// no requests. Between longer passes the whole group may have been idle.
	maxIdlePassDuration = 100 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.6
)

// passTimer measures the mean duration of a group's passes. All ranks take part in
// each pass, so it also measures while the local rank has no requests. An idle group
// makes no passes. passTimer is not safe for concurrent use.
type passTimer struct {
	// meanDuration is an exponential moving average, or zero if there is no
	// sample.
	meanDuration time.Duration
	epoch        uint64
	// firstStep is the pass that had begun last when the sample started.
	firstStep   uint64
	sampleStart time.Time
}

// observe updates the mean duration. It discards the mean if the group is idle or
// the epoch has changed.
func (p *passTimer) observe(r Report, now time.Time) {
	passes := r.State.Step - min(p.firstStep, r.State.Step)
	elapsed := now.Sub(p.sampleStart)
	idle := r.Running == 0 && elapsed > max(minSampleSpan, maxIdlePassDuration*time.Duration(passes))
	if idle || r.State.Epoch != p.epoch || r.State.Step < p.firstStep {
		*p = passTimer{epoch: r.State.Epoch, firstStep: r.State.Step, sampleStart: now}
		return
	}
	if elapsed < minSampleSpan || passes == 0 {
		return
	}
	passDuration := elapsed / time.Duration(passes)
	if passDuration > maxPassDuration {
		p.firstStep, p.sampleStart = r.State.Step, now
		return
	}
	if p.meanDuration > 0 {
		passDuration = time.Duration(sampleWeight*float64(passDuration) + (1-sampleWeight)*float64(p.meanDuration))
	}
	p.meanDuration, p.firstStep, p.sampleStart = passDuration, r.State.Step, now
}
