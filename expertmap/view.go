package expertmap

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalidPlanInput is wrapped by errors about a plan input that is malformed
// or out of range.
var ErrInvalidPlanInput = errors.New("expertmap: invalid plan input")

// ErrTooFewSlots is returned when the live ranks have fewer slots per layer than
// there are experts, so that not every expert can have a replica.
var ErrTooFewSlots = errors.New("expertmap: fewer slots than experts")

// Rank describes one rank of the group.
type Rank struct {
	// Host is the number of the machine. Ranks on the same host fail together.
	Host int
	// Slots is the number of experts per layer that the rank can hold, in
	// [0, PlanInput.Slots].
	Slots int
	// Speed is the speed relative to a healthy rank, in (0, 1]; see
	// SpeedEstimator.
	Speed float64
	// Alive is false for a rank that has left the group or has failed.
	Alive bool
}

// LayerPopularity is the popularity of the experts of a layer that is expected
// until the next plan. The slices have one element per expert.
type LayerPopularity struct {
	// Share is the non-negative share of the layer's tokens. The sum must be
	// positive but need not be 1.
	Share []float32
	// StdErr is the standard error of Share.
	StdErr []float32
	// Peak is the recent maximum of Share, at least Share.
	Peak []float32
	// StableSeconds is how long Share is expected to stay near its value.
	StableSeconds []float32
	// Alternates reports that experts of the layer have recently lost and
	// regained their popularity at least twice. Moves are then planned for the
	// recent peaks of all experts instead of their current shares.
	Alternates bool
}

// ObjectiveWeights are the weights of the planning objective, as set in the rules
// file. Only their ratio matters.
type ObjectiveWeights struct {
	// Skew is the weight of one second of group time, the time in which the group
	// runs steps, lost to waiting for the slowest rank.
	Skew float64
	// Cost is the weight of one second of weight store time or of group time
	// lost in disturbed steps.
	Cost float64
}

// MoveCosts describes the cost of moving one expert.
type MoveCosts struct {
	// BytesPerExpert is the size of the weights of one expert in one layer, at
	// least 0.
	BytesPerExpert int64
	// StoreBytesPerSecond is the throughput of the weight store for this group;
	// it must be positive.
	StoreBytesPerSecond int64
	// StepDisturbance is the group time lost because a move slows down concurrent
	// steps.
	StepDisturbance time.Duration
}

// PlanInput is the complete input of a plan.
type PlanInput struct {
	// Layers, Experts (per layer) and Slots (per rank and layer) are the
	// dimensions of the map.
	Layers, Experts, Slots int
	// Ranks is indexed by rank number.
	Ranks []Rank
	// Popularity has one entry per layer. An entry without shares means that
	// the popularity is unknown: no expert is moved to balance that layer. Lost
	// experts are still placed and empty slots filled, with the load of each
	// expert taken as proportional to its number of replicas.
	Popularity []LayerPopularity
	// Current is the map in use, nil for a new group.
	Current *Map
	Costs   MoveCosts
	Weights ObjectiveWeights
	// PlanInterval is the time until the next plan. The moves of this plan must be
	// loaded from the weight store within it.
	PlanInterval time.Duration
}

// Validate checks the dimensions and value ranges of a plan input. The error
// wraps ErrInvalidPlanInput.
func (v *PlanInput) Validate() error {
	m := Map{Layers: v.Layers, Experts: v.Experts, Ranks: len(v.Ranks), Slots: v.Slots}
	if err := m.validateSize(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidPlanInput, err)
	}
	if len(v.Popularity) != v.Layers {
		return fmt.Errorf("%w: popularity has %d layers, want %d", ErrInvalidPlanInput, len(v.Popularity), v.Layers)
	}
	for l := range v.Popularity {
		if err := v.Popularity[l].validate(v.Experts); err != nil {
			return fmt.Errorf("layer %d: %w", l, err)
		}
	}
	if err := v.validateRanks(); err != nil {
		return err
	}
	if v.Costs.BytesPerExpert < 0 || v.Costs.StoreBytesPerSecond <= 0 || v.Weights.Skew < 0 || v.Weights.Cost < 0 {
		return fmt.Errorf("%w: a cost or a weight is out of range", ErrInvalidPlanInput)
	}
	c := v.Current
	if c != nil && (c.Layers != v.Layers || c.Experts != v.Experts || c.Ranks != len(v.Ranks) || c.Slots != v.Slots) {
		return fmt.Errorf("%w: the current map has different dimensions", ErrInvalidPlanInput)
	}
	return nil
}

func (v *PlanInput) validateRanks() error {
	for i, r := range v.Ranks {
		if r.Slots < 0 || r.Slots > v.Slots {
			return fmt.Errorf("%w: rank %d has %d slots, out of range", ErrInvalidPlanInput, i, r.Slots)
		}
		if r.Alive && (r.Speed <= 0 || r.Speed > 1) {
			return fmt.Errorf("%w: rank %d has speed %v, out of range", ErrInvalidPlanInput, i, r.Speed)
		}
	}
	return nil
}

func (p *LayerPopularity) validate(experts int) error {
	n := len(p.Share)
	if n == 0 {
		return nil
	}
	if n != experts || len(p.StdErr) != n || len(p.Peak) != n || len(p.StableSeconds) != n {
		return fmt.Errorf("%w: popularity has %d experts, want %d", ErrInvalidPlanInput, n, experts)
	}
	var sum float64
	for _, s := range p.Share {
		if !(s >= 0) {
			return fmt.Errorf("%w: popularity share %v is negative or not a number", ErrInvalidPlanInput, s)
		}
		sum += float64(s)
	}
	if !(sum > 0) {
		return fmt.Errorf("%w: popularity shares sum to %v, want a positive sum", ErrInvalidPlanInput, sum)
	}
	return nil
}

// usableSlots returns the number of slots per layer on the live ranks.
func (v *PlanInput) usableSlots() int {
	n := 0
	for _, r := range v.Ranks {
		if r.Alive {
			n += r.Slots
		}
	}
	return n
}

// moveBudget returns the number of experts that can be loaded from the weight
// store within one interval.
func (v *PlanInput) moveBudget() int {
	bytes := float64(v.Costs.StoreBytesPerSecond) * v.PlanInterval.Seconds()
	return int(bytes / float64(max(1, v.Costs.BytesPerExpert)))
}
