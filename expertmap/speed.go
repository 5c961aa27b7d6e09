package expertmap

import (
	"fmt"
	"math"
	"slices"
)

// Parameters of the speed estimate.
const (
	// speedSmoothing is the weight of a new observation in the exponential
	// moving average.
	speedSmoothing = 0.15
	// speedDeadband is the shortfall from the median speed that is treated as
	// noise, as a fraction of the median.
	speedDeadband = 0.06
	// minSpeed bounds the relative speed from below, so that the time of an
	// almost stalled rank stays finite.
	minSpeed = 0.05
)

// SpeedEstimator estimates the speed of each rank from its load and its compute
// time per step. A straggler is a rank whose speed is well below the median.
type SpeedEstimator struct {
	smoothed []float64 // exponential moving average of load per second, 0 if unknown
	sorted   []float64 // buffer of Speeds
}

// NewSpeedEstimator returns an estimator without observations, for which all
// ranks have speed 1.
func NewSpeedEstimator(ranks int) *SpeedEstimator {
	return &SpeedEstimator{smoothed: make([]float64, ranks)}
}

// Observe adds an observation: the load of a rank, in a unit common to all
// ranks, and its compute time in seconds, excluding the time spent waiting for
// other ranks. It returns an error that wraps ErrInvalidReport if the rank is
// unknown or the load per second is not positive and finite.
func (s *SpeedEstimator) Observe(rank int, load, seconds float64) error {
	loadPerSecond := load / seconds
	if rank < 0 || rank >= len(s.smoothed) || !(loadPerSecond > 0) || math.IsInf(loadPerSecond, 0) {
		return fmt.Errorf("%w: rank %d took %v seconds for load %v", ErrInvalidReport, rank, seconds, load)
	}
	if s.smoothed[rank] == 0 {
		s.smoothed[rank] = loadPerSecond
		return nil
	}
	s.smoothed[rank] += speedSmoothing * (loadPerSecond - s.smoothed[rank])
	return nil
}

// Forget discards the observations of a rank. It is to be called when the rank
// is replaced.
func (s *SpeedEstimator) Forget(rank int) { s.smoothed[rank] = 0 }

// Speeds appends the speed of each rank relative to the median of the ranks with
// observations, in [minSpeed, 1]. The speed is 1 for ranks without observations
// and for those within speedDeadband of the median.
func (s *SpeedEstimator) Speeds(out []float64) []float64 {
	s.sorted = s.sorted[:0]
	for _, v := range s.smoothed {
		if v > 0 {
			s.sorted = append(s.sorted, v)
		}
	}
	slices.Sort(s.sorted)
	for _, v := range s.smoothed {
		speed := 1.0
		if v > 0 {
			speed = v / s.sorted[len(s.sorted)/2]
		}
		if speed > 1-speedDeadband {
			speed = 1
		}
		out = append(out, max(minSpeed, speed))
	}
	return out
}
