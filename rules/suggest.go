package rules

import (
	"fmt"
	"maps"
	"slices"
)

// maxEditDistance is the maximum edit distance, in bytes, of a suggestion.
const maxEditDistance = 2

// suggestion returns " (did you mean X?)" for the candidate with the smallest edit
// distance to word, or "" if none is within maxEditDistance and half the length of
// word.
func suggestion(word string, candidates []string) string {
	best, bestDistance := "", maxEditDistance+1
	maxDistance := min(maxEditDistance, len(word)/2)
	for _, c := range candidates {
		if distance := editDistance(word, c); distance <= maxDistance && distance < bestDistance {
			best, bestDistance = c, distance
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

// sortedKeys returns the keys of m, sorted to make messages deterministic.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// editDistance returns the Levenshtein distance of a and b in bytes. If the
// distance is above maxEditDistance it stops early and returns any value above
// maxEditDistance.
func editDistance(a, b string) int {
	if d := len(a) - len(b); d > maxEditDistance || d < -maxEditDistance {
		return maxEditDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal, rowMin := row[0], i+1
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
			rowMin = min(rowMin, row[j+1])
		}
		if rowMin > maxEditDistance {
			return rowMin
		}
	}
	return row[len(b)]
}
