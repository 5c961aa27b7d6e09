package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxShadowLookups is the maximum number of table lookups in the search for
// shadowed routes. It bounds the time of Parse.
const maxShadowLookups = 4_000_000

// shadowSearch finds routes that never apply because earlier routes match every
// request that they match. It checks each combination of organisation and class
// at each model or path of a route; the index gives the first route that matches
// the combination.
type shadowSearch struct {
	set         *Set
	lookupsLeft int
	// tables are those that hold all requests for one model of the current
	// route, or for its method and path pattern.
	tables []*routeTable
	// coveringRoutes are the earlier routes that match combinations of the
	// current route.
	coveringRoutes map[int32]bool
}

// warnShadowed reports each route that never applies because of earlier routes. It
// stops with a warning after maxLookups table lookups.
func (s *Set) warnShadowed(r *report, maxLookups int) {
	search := shadowSearch{set: s, lookupsLeft: maxLookups, coveringRoutes: map[int32]bool{}}
	for i := range s.Routes {
		covering, unreachable := search.findCovering(int32(i))
		if search.lookupsLeft < 0 {
			r.warnf(s.Routes[i].Line, "route", "the file has too many combinations of organisations, models and paths; routes from this line on are not checked for shadowing")
			return
		}
		line := s.Routes[i].Line
		switch {
		case unreachable && len(covering) == 1:
			r.warnf(line, "route", "is shadowed by line %d, which comes first and matches every request that this route matches", s.Routes[covering[0]].Line)
		case unreachable:
			r.warnf(line, "route", "can never apply: lines %s come first and together match every request that this route matches", s.lineNumbers(covering))
		}
	}
}

// maxItemsInMessage is the maximum number of lines, targets or organisations that
// one message lists.
const maxItemsInMessage = 5

// lineNumbers lists the lines of the routes at the given positions.
func (s *Set) lineNumbers(routes []int32) string {
	numbers := make([]string, 0, maxItemsInMessage)
	for _, i := range routes[:min(len(routes), maxItemsInMessage)] {
		numbers = append(numbers, fmt.Sprint(s.Routes[i].Line))
	}
	if unlisted := len(routes) - maxItemsInMessage; unlisted > 0 {
		numbers = append(numbers, fmt.Sprintf("and %d more", unlisted))
	}
	return strings.Join(numbers, ", ")
}

// findCovering returns the earlier routes that together match every request of a
// route, in file order, and true. If some request matches none of them it returns
// nil and false.
func (x *shadowSearch) findCovering(route int32) ([]int32, bool) {
	clear(x.coveringRoutes)
	r := &x.set.Routes[route]
	for _, model := range r.Models {
		x.tables = append(x.tables[:0], x.set.index.models[model])
		if !x.covered(r, route) {
			return nil, false
		}
	}
	if len(r.Models) == 0 {
		x.selectPathTables(r)
		if !x.covered(r, route) {
			return nil, false
		}
	}
	return slices.Sorted(maps.Keys(x.coveringRoutes)), true
}

// selectPathTables sets the tables for a route by path: those whose patterns
// match every request that the method and path of the route match.
func (x *shadowSearch) selectPathTables(r *Route) {
	x.tables = x.tables[:0]
	collect := func(table *routeTable) { x.tables = append(x.tables, table) }
	if r.IsPrefix {
		x.set.index.visitPrefixes(r.Method, r.Path, collect)
		return
	}
	x.set.index.visitPath(r.Method, r.Path, collect)
}

// covered reports whether earlier routes in the selected tables match all
// combinations of organisation and class of a route.
func (x *shadowSearch) covered(r *Route, route int32) bool {
	for class := range Class(classCount) {
		if (r.AnyClass || r.Class == class) && !x.classCovered(r, route, class) {
			return false
		}
	}
	return true
}

// classCovered is like covered, for one class.
func (x *shadowSearch) classCovered(r *Route, route int32, class Class) bool {
	if len(r.Organisations) > 0 {
		for _, name := range r.Organisations {
			if !x.combinationCovered(x.set.names.organisations[name], route, class) {
				return false
			}
		}
		return true
	}
	if x.combinationCovered(noOrganisation, route, class) {
		return true
	}
	// No earlier route for any organisation matches, so only routes that
	// together name every organisation can still cover this one.
	total, named := len(x.set.Organisations), 0
	for _, table := range x.tables {
		named += len(table.byOrganisation)
	}
	if total == 0 || named < total {
		return false
	}
	for org := range int32(total) {
		if !x.combinationCovered(org, route, class) {
			return false
		}
	}
	return true
}

// combinationCovered reports whether an earlier route matches requests of one
// organisation and class. It returns false once the lookup limit is exceeded.
func (x *shadowSearch) combinationCovered(org, route int32, class Class) bool {
	x.lookupsLeft -= len(x.tables)
	if x.lookupsLeft < 0 {
		return false
	}
	best := route
	for _, table := range x.tables {
		best = min(best, table.firstRoute(org, class))
	}
	if best == route {
		return false
	}
	x.coveringRoutes[best] = true
	return true
}
