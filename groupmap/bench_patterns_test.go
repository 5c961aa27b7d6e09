package groupmap_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bluebellwind.example/groupmap"
)

// BenchmarkPlanAnticipation measures what remembered popularities add to a plan for 32
// ranks.
func BenchmarkPlanAnticipation(b *testing.B) {
	s := groupmap.Shape{Sets: 12, Ranks: 32, Experts: 128, MaxExpertsPerRank: 5, MaxCopiesPerRank: 1}
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var p groupmap.Patterns
	for range 16 {
		now = now.Add(time.Second)
		p.Remember(skewedLoad(s, rng), time.Second, now)
	}
	load := skewedLoad(s, rng)
	for b.Loop() {
		now = now.Add(time.Second)
		p.Remember(load, time.Second, now)
		p.Anticipate(load)
	}
}
