// Package compare simulates several strategies for planning expert maps on the
// same seeded workload and reports the skew, the bytes moved and the planning
// time of each.
package compare

import (
	"math"
	"math/rand/v2"
	"time"
)

// Size describes the dimensions of a simulated group.
type Size struct {
	Name                                 string
	Layers, Experts, Ranks, Slots, Hosts int
	// TokensPerSecond is the number of expert selections per second in one
	// layer.
	TokensPerSecond float64
	// StoreBytesPerSecond is the throughput of the weight store for the group.
	StoreBytesPerSecond int64
}

// Workload is the name of a workload.
type Workload string

// The workloads. The popularity drifts in all but Flash and Alternate. Except
// in RoughDrift the drift is smooth: its rate persists for some time, so that
// it can be extrapolated.
const (
	// Drift has no other change than the smooth drift.
	Drift Workload = "drift"
	// Season replaces some of the most popular experts twice. Their popularity
	// changes linearly, and the change of trend is abrupt.
	Season Workload = "season"
	// RoughDrift drifts as a random walk, which cannot be extrapolated.
	RoughDrift Workload = "rough drift"
	// Alternate switches periodically between two popularity patterns.
	Alternate Workload = "alternate"
	// Flash has short popularity peaks of a single expert per layer.
	Flash Workload = "flash"
	// Straggler has one rank that is slow for some time.
	Straggler Workload = "straggler"
	// Loss has one rank that is lost for some time.
	Loss Workload = "loss"
)

// Workloads returns all workloads in the order of the report tables.
func Workloads() []Workload {
	return []Workload{Drift, Season, RoughDrift, Alternate, Flash, Straggler, Loss}
}

// Parameters of the workloads. Start times are relative to the start of the run.
const (
	// zipfExponent is the exponent of the Zipf distribution of popularity.
	zipfExponent = 0.8
	// driftPerHour is the standard deviation of the logarithm of a weight after
	// an hour of drift.
	driftPerHour = 0.25
	// driftCorrelationTime is the correlation time of the rate of a smooth
	// drift.
	driftCorrelationTime = 20 * time.Minute
	// The first of two popularity changes in Season starts at seasonStart, the
	// second seasonInterval later. Each takes seasonDuration.
	seasonStart    = 20 * time.Minute
	seasonDuration = time.Hour
	seasonInterval = 100 * time.Minute
	// One in headDivisor experts, the most popular ones, swap their popularity
	// with random others in each new pattern.
	headDivisor = 16
	// alternatePeriod is the time for which Alternate keeps each pattern.
	alternatePeriod = 10 * time.Minute
	// Flash peaks start at flashStart and then every flashInterval, and last
	// flashDuration.
	flashStart    = 30 * time.Minute
	flashInterval = time.Hour
	flashDuration = 3 * time.Minute
	// The faulty rank is lost or slowed down to stragglerSpeed, relative to a
	// healthy rank, from faultStart for faultDuration.
	faultStart     = 30 * time.Minute
	faultDuration  = time.Hour
	stragglerSpeed = 0.6
	faultyRank     = 3
)

// groundTruth is the actual popularity and state of the ranks at the current
// time of the simulation.
type groundTruth struct {
	size     Size
	workload Workload
	rng      *rand.Rand
	layers   []layerTruth
	speed    []float64
	alive    []bool
}

// layerTruth is the actual popularity of the experts of one layer.
type layerTruth struct {
	logDrift    []float64   // logarithm of the factor by which each expert's weight has drifted
	driftRate   []float64   // rate of change of logDrift per hour
	patterns    [][]float64 // popularity weights between which Season and Alternate switch
	flashExpert int         // expert whose popularity peaks in Flash
	share       []float64   // share of the layer's tokens of each expert
	weights     []float64   // popularity weight of each expert, proportional to share
}

func newGroundTruth(size Size, workload Workload, seed uint64) *groundTruth {
	t := &groundTruth{size: size, workload: workload, rng: rand.New(rand.NewPCG(seed, 1))}
	t.layers = make([]layerTruth, size.Layers)
	for i := range t.layers {
		t.layers[i] = t.newLayer()
	}
	for range size.Ranks {
		t.speed = append(t.speed, 1)
		t.alive = append(t.alive, true)
	}
	t.advance(0, 0)
	return t
}

func (t *groundTruth) newLayer() layerTruth {
	n := t.size.Experts
	order := t.rng.Perm(n)
	l := layerTruth{
		logDrift:    make([]float64, n),
		driftRate:   make([]float64, n),
		share:       make([]float64, n),
		weights:     make([]float64, n),
		flashExpert: order[n/2],
	}
	for range 3 {
		pattern := make([]float64, n)
		for position, e := range order {
			pattern[e] = math.Pow(float64(position+1), -zipfExponent)
		}
		l.patterns = append(l.patterns, pattern)
		for i := range n / headDivisor {
			j := n/headDivisor + t.rng.IntN(n-n/headDivisor)
			order[i], order[j] = order[j], order[i]
		}
	}
	return l
}

// advance updates the ground truth to the time now since the start, step after
// the previous time.
func (t *groundTruth) advance(now, step time.Duration) {
	for i := range t.layers {
		l := &t.layers[i]
		switch t.workload {
		case Alternate, Flash:
		case RoughDrift:
			t.stepRandomWalk(l, step)
		default:
			t.stepSmoothDrift(l, step)
		}
		t.updateShares(l, now)
	}
	fault := now >= faultStart && now < faultStart+faultDuration
	t.alive[faultyRank] = t.workload != Loss || !fault
	t.speed[faultyRank] = 1
	if t.workload == Straggler && fault {
		t.speed[faultyRank] = stragglerSpeed
	}
}

// stepRandomWalk advances the drift of a layer as a random walk, whose steps
// cannot be predicted.
func (t *groundTruth) stepRandomWalk(l *layerTruth, step time.Duration) {
	deviation := driftPerHour * math.Sqrt(step.Hours())
	for e := range l.logDrift {
		l.logDrift[e] += deviation * t.rng.NormFloat64()
	}
}

// stepSmoothDrift advances the drift of a layer, whose rate is an
// Ornstein-Uhlenbeck process. Over times much longer than driftCorrelationTime,
// the drift has the same variance as the random walk.
func (t *groundTruth) stepSmoothDrift(l *layerTruth, step time.Duration) {
	decay := math.Exp(-step.Seconds() / driftCorrelationTime.Seconds())
	stationary := driftPerHour / math.Sqrt(2*driftCorrelationTime.Hours())
	for e := range l.logDrift {
		if l.driftRate[e] == 0 {
			l.driftRate[e] = stationary * t.rng.NormFloat64()
		}
		l.driftRate[e] = decay*l.driftRate[e] + stationary*math.Sqrt(1-decay*decay)*t.rng.NormFloat64()
		l.logDrift[e] += l.driftRate[e] * step.Hours()
	}
}

// updateShares computes the shares from the patterns, the drift and a Flash
// peak, in which the weight of one expert rises to that of the most popular
// one.
func (t *groundTruth) updateShares(l *layerTruth, now time.Duration) {
	blend, from := 0.0, 0
	switch t.workload {
	case Season:
		elapsed := now - seasonStart
		if elapsed >= seasonInterval {
			elapsed, from = elapsed-seasonInterval, 1
		}
		blend = min(1, max(0, float64(elapsed)/float64(seasonDuration)))
	case Alternate:
		from = int(now/alternatePeriod) % 2
	}
	sum := 0.0
	for e := range l.weights {
		l.weights[e] = ((1-blend)*l.patterns[from][e] + blend*l.patterns[from+1][e]) * math.Exp(l.logDrift[e])
		sum += l.weights[e]
	}
	if t.workload == Flash && now >= flashStart && (now-flashStart)%flashInterval < flashDuration {
		sum += 1 - l.weights[l.flashExpert]
		l.weights[l.flashExpert] = 1
	}
	for e, w := range l.weights {
		l.share[e] = w / sum
	}
}
