package rules

import "slices"

// target identifies a group or service by its position in the Set.
type target struct {
	kind     TargetKind
	position int32
}

// compareTargets orders groups before services, and targets of one kind by
// position.
func compareTargets(a, b target) int {
	if a.kind != b.kind {
		return int(a.kind) - int(b.kind)
	}
	return int(a.position - b.position)
}

// targetSet is a set of targets as a slice, sorted by compareTargets and without
// duplicates.
type targetSet []target

// sortedUnique sorts the targets in place and returns them without duplicates.
func (set targetSet) sortedUnique() targetSet {
	slices.SortFunc(set, compareTargets)
	return slices.Compact(set)
}

func (set targetSet) contains(t target) bool {
	_, found := slices.BinarySearchFunc(set, t, compareTargets)
	return found
}

// isSubsetOf reports whether other contains every target of the set.
func (set targetSet) isSubsetOf(other targetSet) bool {
	if len(set) > len(other) {
		return false
	}
	for _, t := range set {
		if !other.contains(t) {
			return false
		}
	}
	return true
}

// reachableTargets holds the targets that requests can be routed to. Targets that
// every organisation can reach are stored only once, because a file may have
// thousands of organisations and of targets.
type reachableTargets struct {
	shared targetSet
	// byOrganisation holds, for each organisation by position, the targets that
	// it can reach and that are not shared.
	byOrganisation []targetSet
}

// reachableTargets returns the targets that the requests of each organisation can
// be routed to.
func (s *Set) reachableTargets() reachableTargets {
	reachable := reachableTargets{byOrganisation: make([]targetSet, len(s.Organisations))}
	for i := range s.Routes {
		if r := &s.Routes[i]; len(r.Organisations) == 0 {
			reachable.shared = append(reachable.shared, s.targetOfRoute(r))
		}
	}
	reachable.shared = reachable.shared.sortedUnique()
	for i := range s.Routes {
		r := &s.Routes[i]
		t := s.targetOfRoute(r)
		if reachable.shared.contains(t) {
			continue
		}
		for _, name := range r.Organisations {
			org := s.names.organisations[name]
			reachable.byOrganisation[org] = append(reachable.byOrganisation[org], t)
		}
	}
	for i, targets := range reachable.byOrganisation {
		reachable.byOrganisation[i] = targets.sortedUnique()
	}
	return reachable
}

func (s *Set) targetOfRoute(r *Route) target {
	if r.Kind == ToService {
		return target{ToService, s.names.services[r.Target]}
	}
	return target{ToGroup, s.names.groups[r.Target]}
}

// maxDistinctTargetSets is the maximum number of different target sets of
// organisations that are checked separately. It bounds the time of the check.
const maxDistinctTargetSets = 64

// distinctSets returns the different target sets in byOrganisation. If there are
// more than maxDistinctTargetSets, it returns only their union.
func (reachable reachableTargets) distinctSets() []targetSet {
	var distinct []targetSet
	for _, targets := range reachable.byOrganisation {
		if slices.ContainsFunc(distinct, func(set targetSet) bool { return slices.Equal(set, targets) }) {
			continue
		}
		distinct = append(distinct, targets)
		if len(distinct) > maxDistinctTargetSets {
			return []targetSet{slices.Concat(reachable.byOrganisation...).sortedUnique()}
		}
	}
	return distinct
}
