package groupmap_test

import (
	"math/rand/v2"
	"testing"

	"bluebellwind.example/groupmap"
)

// BenchmarkPlanOfALargeGroup plans for 96 ranks after other experts have come into
// demand.
func BenchmarkPlanOfALargeGroup(b *testing.B) {
	s := groupmap.Shape{Sets: 16, Ranks: 96, Experts: 192, MaxExpertsPerRank: 3, MaxCopiesPerRank: 1}
	load := skewedLoad(s, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		groupmap.Plan(groupmap.InitialMap(s), groupmap.Demand{Load: load}, s, groupmap.Limits{TargetSkew: 1.06, MaxCopies: 384, MinGainPerCopy: 0.001})
	}
}
