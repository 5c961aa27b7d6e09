package compare

import (
	"math"

	"bluebellwind.example/expertmap"
)

// relabel permutes the ranks of a packed map, separately in each layer, so that
// as many experts as possible stay on their current rank. Only ranks with equal
// speed, number of slots and liveness are exchanged, so that the balance of the
// packing is preserved.
func relabel(packed, current *expertmap.Map, ranks []expertmap.Rank) {
	n, slots := packed.Ranks, packed.Slots
	cost := make([][]float64, n)
	for i := range cost {
		cost[i] = make([]float64, n)
	}
	for l := range packed.Layers {
		packedCells, currentCells := packed.Layer(l), current.Layer(l)
		for i := range n {
			for j := range n {
				cost[i][j] = -overlap(packedCells[i*slots:(i+1)*slots], currentCells[j*slots:(j+1)*slots])
				if ranks[i] != ranks[j] && !interchangeable(ranks[i], ranks[j]) {
					cost[i][j] = float64(n * slots)
				}
			}
		}
		relabelled := make([]expertmap.Slot, len(packedCells))
		for i, j := range assign(cost) {
			copy(relabelled[j*slots:], packedCells[i*slots:(i+1)*slots])
		}
		copy(packedCells, relabelled)
	}
}

// interchangeable reports whether two ranks can be exchanged by relabel.
func interchangeable(a, b expertmap.Rank) bool {
	return a.Speed == b.Speed && a.Slots == b.Slots && a.Alive == b.Alive
}

// overlap returns the number of experts that are in both a and b.
func overlap(a, b []expertmap.Slot) float64 {
	n := 0.0
	for _, x := range a {
		for _, y := range b {
			if x.Expert == y.Expert && x.Expert != expertmap.NoExpert {
				n++
			}
		}
	}
	return n
}

// assign returns the column of each row in a minimum-cost assignment. It uses
// the Hungarian algorithm with potentials. Rows and columns are numbered from 1
// in its slices; index 0 marks a column without a row.
func assign(cost [][]float64) []int {
	n := len(cost)
	rowPotential, colPotential := make([]float64, n+1), make([]float64, n+1)
	match, previous := make([]int, n+1), make([]int, n+1)
	minCost, used := make([]float64, n+1), make([]bool, n+1)
	for i := 1; i <= n; i++ {
		match[0] = i
		for j := range minCost {
			minCost[j], used[j] = math.Inf(1), false
		}
		col := augment(cost, rowPotential, colPotential, minCost, match, previous, used)
		for col != 0 {
			match[col] = match[previous[col]]
			col = previous[col]
		}
	}
	out := make([]int, n)
	for j := 1; j <= n; j++ {
		out[match[j]-1] = j - 1
	}
	return out
}

// augment searches a shortest augmenting path from the row in match[0], updates
// the potentials and returns the unmatched column at its end. The slice
// previous holds the previous column on the path to each column.
func augment(cost [][]float64, rowPotential, colPotential, minCost []float64, match, previous []int, used []bool) int {
	col := 0
	for match[col] != 0 {
		used[col] = true
		row, delta, next := match[col], math.Inf(1), 0
		for j := 1; j < len(colPotential); j++ {
			if used[j] {
				continue
			}
			if c := cost[row-1][j-1] - rowPotential[row] - colPotential[j]; c < minCost[j] {
				minCost[j], previous[j] = c, col
			}
			if minCost[j] < delta {
				delta, next = minCost[j], j
			}
		}
		for j := range colPotential {
			if used[j] {
				rowPotential[match[j]] += delta
				colPotential[j] -= delta
			} else {
				minCost[j] -= delta
			}
		}
		col = next
	}
	return col
}
