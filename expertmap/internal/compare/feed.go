package compare

import (
	"math"
	"math/rand/v2"
	"time"

	"bluebellwind.example/expertmap"
)

// Properties of the reports that reach the planner.
const (
	// reportWindow is the time window that a report covers.
	reportWindow = 5 * time.Second
	// lossProbability is the probability that a report is lost.
	lossProbability = 1.0 / 3
	// minDelay and maxDelay bound the uniformly distributed delay of a report.
	minDelay = time.Second
	maxDelay = 30 * time.Second
	// burstDeviation is the relative standard deviation of an expert's token
	// count in a window in addition to its Poisson noise. It arises because
	// requests on the same topic arrive in bursts.
	burstDeviation = 0.04
	// stepTimeDeviation is the relative standard deviation of a reported step
	// time.
	stepTimeDeviation = 0.05
)

// reportFeed generates noisy reports from the ground truth, loses some and
// delays the others.
type reportFeed struct {
	rng       *rand.Rand
	counts    []delayed[expertmap.TokenReport]
	stepTimes []delayed[stepTime]
}

// delayed is a value that is delivered at the due time.
type delayed[T any] struct {
	due   time.Time
	value T
}

// stepTime reports how long a rank computed for a load.
type stepTime struct {
	rank          int
	load, seconds float64
}

func newReportFeed(seed uint64) *reportFeed { return &reportFeed{rng: rand.New(rand.NewPCG(seed, 2))} }

func (f *reportFeed) dropReport() bool { return f.rng.Float64() < lossProbability }

func (f *reportFeed) delay() time.Duration {
	return minDelay + time.Duration(f.rng.Float64()*float64(maxDelay-minDelay))
}

// publish generates the reports of the window that ends now.
func (f *reportFeed) publish(truth *groundTruth, now time.Time) {
	for layer := range truth.layers {
		if f.dropReport() {
			continue
		}
		report := expertmap.TokenReport{Layer: layer, Start: now.Add(-reportWindow), End: now}
		report.Tokens = make([]uint32, truth.size.Experts)
		for e, share := range truth.layers[layer].share {
			tokens := share * truth.size.TokensPerSecond * reportWindow.Seconds()
			tokens *= math.Exp(burstDeviation * f.rng.NormFloat64())
			tokens += math.Sqrt(tokens) * f.rng.NormFloat64()
			report.Tokens[e] = uint32(max(0, tokens))
		}
		f.counts = append(f.counts, delayed[expertmap.TokenReport]{now.Add(f.delay()), report})
	}
	for rank, speed := range truth.speed {
		if f.dropReport() || !truth.alive[rank] {
			continue
		}
		seconds := math.Exp(stepTimeDeviation*f.rng.NormFloat64()) / speed
		f.stepTimes = append(f.stepTimes, delayed[stepTime]{now.Add(f.delay()), stepTime{rank, 1, seconds}})
	}
}

// deliver passes the reports that are due to the estimators.
func (f *reportFeed) deliver(now time.Time, popularity *expertmap.Estimator, speeds *expertmap.SpeedEstimator) error {
	var err error
	f.counts = deliverDue(f.counts, now, func(r expertmap.TokenReport) {
		if e := popularity.Observe(r); e != nil {
			err = e
		}
	})
	f.stepTimes = deliverDue(f.stepTimes, now, func(r stepTime) {
		if e := speeds.Observe(r.rank, r.load, r.seconds); e != nil {
			err = e
		}
	})
	return err
}

// deliverDue delivers the values that are due and returns the others.
func deliverDue[T any](queue []delayed[T], now time.Time, deliver func(T)) []delayed[T] {
	pending := queue[:0]
	for _, d := range queue {
		if d.due.After(now) {
			pending = append(pending, d)
			continue
		}
		deliver(d.value)
	}
	return pending
}
