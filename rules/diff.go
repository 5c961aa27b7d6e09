package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two rules files that affects callers.
type Change struct {
	// Subject is the organisation, model, or method and path that changes.
	Subject string `json:"subject"`
	// Organisations are the ones that a routing change affects; empty means all.
	Organisations []string `json:"organisations,omitempty"`
	// Class is the affected request class; empty means both classes.
	Class string `json:"class,omitempty"`
	// Effect is the verb phrase between Subject and After, such as "goes to".
	// Before and After are the old and the new value.
	Effect string `json:"what"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String describes the change in one line for operators.
func (c Change) String() string {
	var b strings.Builder
	b.WriteString(c.Subject)
	if len(c.Organisations) > 0 {
		listed := c.Organisations[:min(len(c.Organisations), maxItemsInMessage)]
		fmt.Fprintf(&b, ", organisation %s", strings.Join(listed, ", "))
		if unlisted := len(c.Organisations) - len(listed); unlisted > 0 {
			fmt.Fprintf(&b, " and %d more", unlisted)
		}
	}
	if c.Class != "" {
		fmt.Fprintf(&b, ", class %s", c.Class)
	}
	fmt.Fprintf(&b, ": %s %s", c.Effect, c.After)
	if c.Before != "" {
		fmt.Fprintf(&b, " (was %s)", c.Before)
	}
	return b.String()
}

// Diff returns what changes for callers when next replaces old. Lines that are
// moved or rewritten without affecting callers are not listed.
func Diff(old, next *Set) []Change {
	changes := diffOrganisations(old, next)
	changes = append(changes, diffRouting(old, next)...)
	return append(changes, diffWeights(old, next)...)
}

// unionKeys returns the keys that are in either map, sorted.
func unionKeys[V any](a, b map[string]V) []string {
	return slices.Compact(slices.Sorted(slices.Values(append(sortedKeys(a), sortedKeys(b)...))))
}

func diffOrganisations(old, next *Set) []Change {
	var changes []Change
	for _, name := range unionKeys(old.names.organisations, next.names.organisations) {
		before, after := old.Organisation(name), next.Organisation(name)
		switch {
		case before == nil:
			changes = append(changes, Change{
				Subject: "organisation " + name, Effect: "is added with",
				After: fmt.Sprintf("%s and %s", after.limitText(), after.shareText()),
			})
		case after == nil:
			changes = append(changes, Change{Subject: "organisation " + name, Effect: "is", After: "refused: its tokens stop working"})
		default:
			changes = append(changes, diffOrganisation(before, after)...)
		}
	}
	return changes
}

func (o *Organisation) limitText() string {
	var words []string
	for _, unit := range rateUnits {
		if rate := unit.value(o.Rates); rate > 0 {
			words = append(words, formatNumber(rate)+" "+unit.name)
		}
	}
	if len(words) == 0 {
		return "no limit"
	}
	return "a limit of " + strings.Join(words, " and ")
}

func (o *Organisation) shareText() string { return "a share of " + formatNumber(o.Share) }

func diffOrganisation(before, after *Organisation) []Change {
	var changes []Change
	addIfChanged := func(effect, oldText, newText string) {
		if oldText != newText {
			changes = append(changes, Change{Subject: "organisation " + after.Name, Effect: effect, Before: oldText, After: newText})
		}
	}
	addIfChanged("has", before.limitText(), after.limitText())
	addIfChanged("has", before.shareText(), after.shareText())
	added, removed := countMissing(after.Tokens, before.Tokens), countMissing(before.Tokens, after.Tokens)
	addIfChanged("tokens that work from now on:", "", countText(added))
	addIfChanged("tokens that stop working:", "", countText(removed))
	return changes
}

// countMissing returns how many of the hashes are not in others.
func countMissing(hashes, others []TokenHash) int {
	missing := 0
	for _, hash := range hashes {
		if !slices.Contains(others, hash) {
			missing++
		}
	}
	return missing
}

// countText returns n in decimal, or "" for 0.
func countText(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func diffWeights(old, next *Set) []Change {
	oldText, newText := old.Weights.description(), next.Weights.description()
	if oldText == newText {
		return nil
	}
	return []Change{{Subject: "all model groups", Effect: "are balanced with", Before: oldText, After: newText}}
}

func (w Weights) description() string {
	return fmt.Sprintf("skew weight %s and rebalance weight %s", formatNumber(w.Skew), formatNumber(w.Rebalance))
}
