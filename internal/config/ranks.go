package config

import (
	"fmt"
	"time"
)

// Default values of the settings of a rank group.
const (
	DefaultPlanInterval = Duration(30 * time.Second)
	DefaultStallTimeout = Duration(2 * time.Second)
	DefaultMoveCost     = Duration(100 * time.Millisecond)
	DefaultLeadSteps    = uint64(50)
)

// Bounds that the settings of a rank group are validated against. The planner
// validates expert maps itself.
const (
	maxRanks        = 4096
	maxLayers       = 1024
	maxExperts      = 4096
	maxSlotsPerRank = 64
	maxLeadSteps    = 100000
	minPlanInterval = 50 * time.Millisecond
	maxPlanInterval = time.Hour
	minStallTimeout = 20 * time.Millisecond
	maxStallTimeout = time.Minute
)

// RankGroup holds the ranks of the agent's group that the backend server hosts
// and the dimensions of the group's expert maps, which assign the experts of
// each layer to ranks. All agents of a group must have the same values except
// for Hosted.
type RankGroup struct {
	// Total is the number of ranks of the group.
	Total int `yaml:"total"`
	// Hosted are the ranks on this agent's backend server.
	Hosted []HostedRank `yaml:"hosted"`
	// Layers is the number of layers, Experts the number of experts per layer,
	// and Slots the number of experts per layer that fit on one rank.
	Layers  int `yaml:"layers"`
	Experts int `yaml:"experts"`
	Slots   int `yaml:"slots"`
	// BytesPerExpert is the size of the weights of one expert in one layer.
	BytesPerExpert int64 `yaml:"bytes_per_expert"`
	// StoreBytesPerSecond is the group's share of the weight store's read
	// bandwidth.
	StoreBytesPerSecond int64 `yaml:"store_bytes_per_second"`
	// MoveCost is the processing time that the group loses for each expert
	// that is moved.
	MoveCost Duration `yaml:"disturbance"`
	// PlanInterval is the time between two runs of the planner.
	PlanInterval Duration `yaml:"plan_interval"`
	// Stall is how long a rank may make no progress during a switch of the map
	// before it is repaired.
	Stall Duration `yaml:"stall"`
	// LeadSteps is the number of steps between the first poll of the ranks and
	// the step at which they switch maps.
	LeadSteps uint64 `yaml:"lead_steps"`
}

// HostedRank is the number of a rank and the base URL of its control interface.
type HostedRank struct {
	Rank int    `yaml:"rank"`
	URL  string `yaml:"url"`
}

func (g *RankGroup) setDefaults() {
	if g.PlanInterval == 0 {
		g.PlanInterval = DefaultPlanInterval
	}
	if g.Stall == 0 {
		g.Stall = DefaultStallTimeout
	}
	if g.MoveCost == 0 {
		g.MoveCost = DefaultMoveCost
	}
	if g.LeadSteps == 0 {
		g.LeadSteps = DefaultLeadSteps
	}
}

func (s *Settings) checkRanks() *invalidField {
	g := s.Agent.Ranks
	if g == nil {
		return nil
	}
	if s.Agent.Group == "" {
		return &invalidField{"agent.ranks", "requires agent.group"}
	}
	for _, limit := range []struct {
		field     string
		value     int64
		low, high int64
	}{
		{"total", int64(g.Total), 1, maxRanks},
		{"layers", int64(g.Layers), 1, maxLayers},
		{"experts", int64(g.Experts), 1, maxExperts},
		{"slots", int64(g.Slots), 1, maxSlotsPerRank},
		{"bytes_per_expert", g.BytesPerExpert, 1, 1 << 40},
		{"store_bytes_per_second", g.StoreBytesPerSecond, 1, 1 << 50},
		{"lead_steps", int64(g.LeadSteps), 1, maxLeadSteps},
	} {
		if limit.value < limit.low || limit.value > limit.high {
			return &invalidField{"agent.ranks." + limit.field, fmt.Sprintf("%d is outside %d to %d", limit.value, limit.low, limit.high)}
		}
	}
	if g.Slots*g.Total < g.Experts {
		return &invalidField{"agent.ranks.slots", fmt.Sprintf("%d ranks with %d slots cannot hold %d experts", g.Total, g.Slots, g.Experts)}
	}
	if invalid := checkRange("agent.ranks.plan_interval", g.PlanInterval, minPlanInterval, maxPlanInterval); invalid != nil {
		return invalid
	}
	if invalid := checkRange("agent.ranks.stall", g.Stall, minStallTimeout, maxStallTimeout); invalid != nil {
		return invalid
	}
	if invalid := checkRange("agent.ranks.disturbance", g.MoveCost, 0, time.Minute); invalid != nil {
		return invalid
	}
	return g.checkHosted()
}

func (g *RankGroup) checkHosted() *invalidField {
	if len(g.Hosted) == 0 {
		return &invalidField{"agent.ranks.hosted", "is missing"}
	}
	seen := map[int]bool{}
	for i, h := range g.Hosted {
		field := fmt.Sprintf("agent.ranks.hosted[%d]", i)
		if h.Rank < 0 || h.Rank >= g.Total {
			return &invalidField{field + ".rank", fmt.Sprintf("%d is outside 0 to %d", h.Rank, g.Total-1)}
		}
		if seen[h.Rank] {
			return &invalidField{field + ".rank", fmt.Sprintf("%d is listed twice", h.Rank)}
		}
		seen[h.Rank] = true
		if invalid := checkURL(field+".url", h.URL); invalid != nil {
			return invalid
		}
	}
	return nil
}
