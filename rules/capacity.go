package rules

import (
	"fmt"
	"strings"
)

// rateUnit is a unit in which limits and capacities are given: requests or
// tokens per second.
type rateUnit struct {
	name string
	// value returns the rate that is given in this unit; 0 if none is.
	value func(Rates) float64
	// includesServices is set if services have a capacity in this unit as well
	// as model groups. Services have no rate in tokens.
	includesServices bool
}

var rateUnits = []rateUnit{
	{unitRequests, func(r Rates) float64 { return r.RequestsPerSecond }, true},
	{unitTokens, func(r Rates) float64 { return r.TokensPerSecond }, false},
}

// capacity is the total capacity of several targets in one rate unit.
type capacity struct {
	total       float64
	targetCount int
	// unknown is set if the capacity of at least one target is not configured.
	unknown bool
}

// known reports whether limits can be compared with the capacity.
func (c capacity) known() bool { return !c.unknown && c.targetCount > 0 }

// addCapacity returns c plus the capacity of the targets.
func (s *Set) addCapacity(c capacity, targets targetSet, unit rateUnit) capacity {
	for _, t := range targets {
		if t.kind == ToService && !unit.includesServices {
			continue
		}
		rate := unit.value(s.targetCapacity(t))
		c.total += rate
		c.targetCount++
		c.unknown = c.unknown || rate == 0
	}
	return c
}

func (s *Set) targetCapacity(t target) Rates {
	if t.kind == ToService {
		return s.Services[t.position].Capacity
	}
	return s.Groups[t.position].Capacity
}

// targetNames lists the targets that c counts, for use in a message. It names
// at most maxItemsInMessage of them and says how many more there are.
func (s *Set) targetNames(unit rateUnit, c capacity, sets ...targetSet) string {
	var names []string
	for _, set := range sets {
		for _, t := range set {
			if len(names) == maxItemsInMessage {
				return fmt.Sprintf("%s and %d more", strings.Join(names, ", "), c.targetCount-maxItemsInMessage)
			}
			switch {
			case t.kind == ToGroup:
				names = append(names, "group "+s.Groups[t.position].Name)
			case unit.includesServices:
				names = append(names, "service "+s.Services[t.position].Name)
			}
		}
	}
	return strings.Join(names, " and ")
}

// warnLimits reports limits above the capacity of the targets that they apply
// to. It checks the limit of each organisation, and the sum of the limits of all
// organisations whose requests go to the same targets or to a subset of them.
func (s *Set) warnLimits(r *report, reachable reachableTargets) {
	distinct := reachable.distinctSets()
	for _, unit := range rateUnits {
		sharedCapacity := s.addCapacity(capacity{}, reachable.shared, unit)
		if sharedCapacity.unknown {
			continue
		}
		for i := range s.Organisations {
			s.warnLimit(r, int32(i), reachable, sharedCapacity, unit)
		}
		for _, targets := range distinct {
			s.warnLimitSum(r, reachable, targets, sharedCapacity, unit)
		}
	}
}

// warnLimit reports a limit of one organisation that is above the capacity of
// its targets.
func (s *Set) warnLimit(r *report, org int32, reachable reachableTargets, sharedCapacity capacity, unit rateUnit) {
	o, targets := &s.Organisations[org], reachable.byOrganisation[org]
	limit := unit.value(o.Rates)
	if limit == 0 {
		return
	}
	c := s.addCapacity(sharedCapacity, targets, unit)
	if c.known() && limit > c.total {
		r.warnf(o.Line, "limit", "%s %s is more than %s can carry (%s)",
			formatNumber(limit), unit.name, s.targetNames(unit, c, targets, reachable.shared), formatNumber(c.total))
	}
}

// warnLimitSum reports limits that add up to more than the capacity of targets
// and the shared targets together.
func (s *Set) warnLimitSum(r *report, reachable reachableTargets, targets targetSet, sharedCapacity capacity, unit rateUnit) {
	c := s.addCapacity(sharedCapacity, targets, unit)
	if !c.known() {
		return
	}
	limitSum, organisationCount, lastLine := 0.0, 0, 0
	for i := range s.Organisations {
		o := &s.Organisations[i]
		limit := unit.value(o.Rates)
		if limit == 0 || !reachable.byOrganisation[i].isSubsetOf(targets) {
			continue
		}
		limitSum += limit
		organisationCount++
		lastLine = o.Line
	}
	if organisationCount > 1 && limitSum > c.total {
		r.warnf(lastLine, "limit", "the limits of %d organisations add up to %s %s, more than %s can carry (%s)",
			organisationCount, formatNumber(limitSum), unit.name, s.targetNames(unit, c, targets, reachable.shared), formatNumber(c.total))
	}
}
