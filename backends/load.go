package backends

import (
	"math"
	"time"

	"bluebellwind.example/admission"
	"bluebellwind.example/ingress"
)

const (
	// targetPassShare is the share of the longest allowed pause that a pass should
	// take.
	targetPassShare = 0.9
	// minSlotShare is the share of a rank's slots that may be used however long
	// passes take.
	minSlotShare = 0.34
	// lateAnswerShare is the share of a request's time limit that a mean answer may
	// take in a group that is late.
	lateAnswerShare = 0.5
	// maxPeakRatio is how many times the present pass time the remembered peak may be.
	// A longer pass had another cause than popularity, such as a slow server, and says
	// nothing once that has ended.
	maxPeakRatio = 2.2
	// peakTimeConstant is the time constant with which the peak of the pass time
	// decays. The popularity of experts changes every few seconds, and each change
	// delays the streams that run at that moment.
	peakTimeConstant = 4 * time.Second
	// representativeGateways is the number of gateways of which the own rate of sent
	// requests tells as much as the turnover of the slots.
	representativeGateways = 32
	// rateTimeConstant is the time constant of the average rate of sent requests.
	rateTimeConstant = time.Second
)

// groupLoad is the combined load of the ranks of one group.
type groupLoad struct {
	// slots is how many slots may be used, running how many requests hold one, and
	// waiting how many wait for one.
	slots, running, waiting int
	// reportAge is the mean age of the ranks' statuses.
	reportAge time.Duration
	// passTime is the duration of one pass, serviceTime how long a request holds a
	// slot.
	passTime, serviceTime time.Duration
	// sendsPerSecond is the rate at which this process sends requests to the group.
	sendsPerSecond float64
	// late says that passes exceed the pause limit even with minSlots in use.
	late bool
	// stalled says that the group has requests but runs no passes.
	stalled bool
}

// pool is the combined load of the groups among which a request may be placed:
// counts are sums, durations are means over the groups.
type pool struct {
	groupLoad
	groups int
	// demandShare is the share of the service's demand that the pool gets; 1 if zero. It is
	// below 1 for a request that avoids some groups, which others use.
	demandShare float64
}

func (p *pool) add(g groupLoad) {
	p.groups++
	p.slots += g.slots
	p.running += g.running
	p.waiting += g.waiting
	p.sendsPerSecond += g.sendsPerSecond
	weight := 1 / float64(p.groups)
	p.reportAge += time.Duration(weight * float64(g.reportAge-p.reportAge))
	p.passTime += time.Duration(weight * float64(g.passTime-p.passTime))
	p.serviceTime += time.Duration(weight * float64(g.serviceTime-p.serviceTime))
}

// estimateWait estimates how long a new request waits for a slot, given the demand at all
// gateways. A gateway knows only what it sent itself since the last status, see
// arrivalsSinceReport.
func (p *pool) estimateWait(r *PickRequest, demand *admission.Demand) admission.Estimate {
	if p.slots == 0 || p.serviceTime == 0 {
		return admission.Estimate{}
	}
	ended := min(float64(p.running+p.waiting), float64(p.slots)) * p.reportAge.Seconds() / p.serviceTime.Seconds()
	load := admission.Load{
		Slots: p.slots, Running: p.running, Waiting: p.waiting,
		Arrived: p.arrivalsSinceReport(r.GatewayCount, ended), Ended: ended, ServiceTime: p.serviceTime,
	}
	if p.demandShare > 0 && p.demandShare < 1 {
		scaled := demand.Scaled(p.demandShare)
		demand = &scaled
	}
	return admission.EstimateWait(&load, demand, r.Priority)
}

// arrivalsSinceReport estimates how many requests all gateways have sent since the
// statuses. The own rate stands for that of each gateway, but callers are spread
// unevenly, and of many gateways one sees little: a few requests more in a second look
// like hundreds. The more gateways there are, the more the estimate relies on ended,
// the number of requests that have ended since, which as many arrive to replace while
// the load is steady.
func (p *pool) arrivalsSinceReport(gateways int, ended float64) float64 {
	n := float64(max(1, gateways))
	sampled := p.sendsPerSecond * n * p.reportAge.Seconds()
	weight := 1 / (1 + (n/representativeGateways)*(n/representativeGateways))
	return weight*sampled + (1-weight)*ended
}

// scalePassTime returns the duration of a pass with n requests on each rank, given
// the duration that was measured while each rank ran the given number of requests.
func scalePassTime(e *ingress.Engine, n int, measured time.Duration, running float64) time.Duration {
	stepTime := func(n float64) float64 { return float64(e.Step) + n*float64(e.PerSequence) }
	if stepTime(running) == 0 {
		return measured
	}
	return time.Duration(float64(measured) * stepTime(float64(n)) / stepTime(running))
}

// usableSlots returns how many slots of a rank may be used, given the duration of a
// pass with all slots in use. All streams of the group pause during a pass, so a
// single request too many delays all of them past the pause limit. If passes exceed
// that limit anyway, the slots are as many as let a mean answer end within
// lateAnswerShare of the time limit of a request, so that most callers still get one.
func usableSlots(e *ingress.Engine, fullPassTime, maxPause, timeLimit time.Duration) int {
	target := time.Duration(targetPassShare * float64(maxPause))
	if alwaysLate(e, fullPassTime, maxPause) {
		passes := max(1, e.AnswerTokens) / max(1, e.Stride)
		target = max(target, time.Duration(lateAnswerShare*float64(timeLimit))/time.Duration(max(1, passes)))
	}
	n := e.Slots
	for maxPause > 0 && n > minSlots(e) && scalePassTime(e, n, fullPassTime, float64(e.Slots)) > target {
		n--
	}
	return n
}

// minSlots returns how many slots of a rank may be used however long passes take.
func minSlots(e *ingress.Engine) int { return max(1, int(minSlotShare*float64(e.Slots))) }

// alwaysLate reports whether passes take longer than the longest allowed pause even
// with minSlots in use.
func alwaysLate(e *ingress.Engine, fullPassTime, maxPause time.Duration) bool {
	return maxPause > 0 && scalePassTime(e, minSlots(e), fullPassTime, float64(e.Slots)) > maxPause
}

// passPeak is a decaying peak of the pass time with all slots in use. The zero
// value has observed no pass.
type passPeak struct {
	passTime   time.Duration
	observedAt time.Time
}

// observe adds a pass time and returns the peak.
func (p *passPeak) observe(passTime time.Duration, now time.Time) time.Duration {
	if !p.observedAt.IsZero() && p.passTime > passTime {
		decay := math.Exp(-now.Sub(p.observedAt).Seconds() / peakTimeConstant.Seconds())
		remembered := min(p.passTime, time.Duration(maxPeakRatio*float64(passTime)))
		passTime += time.Duration(decay * float64(remembered-passTime))
	}
	p.passTime, p.observedAt = passTime, now
	return passTime
}

// sendMeter measures the rate of sent requests as an exponentially decaying
// average. The zero value has recorded none.
type sendMeter struct {
	perSecond float64
	updatedAt time.Time
}

// record counts one sent request.
func (m *sendMeter) record(now time.Time) {
	m.perSecond = m.rateAt(now) + 1/rateTimeConstant.Seconds()
	m.updatedAt = now
}

// rateAt returns the rate at the given time in requests per second.
func (m *sendMeter) rateAt(now time.Time) float64 {
	return m.perSecond * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
