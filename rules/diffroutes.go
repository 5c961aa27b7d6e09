package rules

import (
	"maps"
	"slices"
	"strings"
)

// unlistedValue is the placeholder for a method, or for the remainder of a path
// after a prefix, that appears in no route. Parse accepts no control characters,
// so no route can contain it.
const unlistedValue = "\x00"

// requestKind is a set of requests that both files route alike for one
// organisation and class: those for one model, or those with one method and path
// pattern. The field request is a representative of the set.
type requestKind struct {
	subject string
	request Request
}

// organisationNames holds names of organisations. In the result of
// remainingOrganisations, all names in one list are routed alike.
type organisationNames []string

// diffRouting compares where each file sends every kind of request.
func diffRouting(old, next *Set) []Change {
	byModel, byPath := remainingOrganisations(old, next, true), remainingOrganisations(old, next, false)
	var changes []Change
	for _, kind := range requestKinds(old, next) {
		remaining := byPath
		if kind.request.Model != "" {
			remaining = byModel
		}
		changes = append(changes, diffRequestKind(old, next, kind, remaining)...)
	}
	return changes
}

// remainingOrganisations returns the organisations that are in both files. If
// byModel is set it considers the routes by model, otherwise the routes by path.
// Each organisation that such a route names has a list of its own; all others
// share one list, because they are routed alike.
func remainingOrganisations(old, next *Set, byModel bool) []organisationNames {
	named := map[string]bool{}
	for _, s := range []*Set{old, next} {
		for i := range s.Routes {
			r := &s.Routes[i]
			if byModel != (len(r.Models) > 0) {
				continue
			}
			for _, name := range r.Organisations {
				named[name] = true
			}
		}
	}
	var remaining []organisationNames
	var undistinguished organisationNames
	for _, name := range sortedKeys(old.names.organisations) {
		switch {
		case next.Organisation(name) == nil:
		case named[name]:
			remaining = append(remaining, organisationNames{name})
		default:
			undistinguished = append(undistinguished, name)
		}
	}
	if len(undistinguished) > 0 {
		remaining = append(remaining, undistinguished)
	}
	return remaining
}

// requestKinds returns every kind of request that the routes of either file
// distinguish.
func requestKinds(old, next *Set) []requestKind {
	models, patterns, methodNames := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, s := range []*Set{old, next} {
		for i := range s.Routes {
			r := &s.Routes[i]
			for _, m := range r.Models {
				models[m] = true
			}
			if len(r.Models) == 0 {
				patterns[r.pathPattern()] = true
				methodNames[r.Method] = true
			}
		}
	}
	var all []requestKind
	for _, m := range sortedKeys(models) {
		all = append(all, requestKind{"model " + m, Request{Model: m}})
	}
	for _, pattern := range sortedKeys(patterns) {
		for _, method := range sortedKeys(methodNames) {
			all = append(all, pathRequestKind(method, pattern))
		}
	}
	return all
}

// pathRequestKind returns the kind of requests with one method and path
// pattern. An empty method stands for all methods that no route names.
func pathRequestKind(method, pattern string) requestKind {
	subject := method + " " + pattern
	if method == "" {
		method, subject = unlistedValue, "other methods "+pattern
	}
	path, isPrefix := strings.CutSuffix(pattern, "*")
	if isPrefix {
		path += unlistedValue
	}
	return requestKind{subject, Request{Method: method, Path: path}}
}

// routingChange describes the destinations of one kind of request in the old and
// in the new file.
type routingChange struct{ before, after string }

// diffRequestKind returns the changes for one kind of request. Organisations
// with the same change are listed in one entry.
func diffRequestKind(old, next *Set, kind requestKind, remaining []organisationNames) []Change {
	var byChange [classCount]map[routingChange]organisationNames
	organisationCount := 0
	for class := range byChange {
		byChange[class] = map[routingChange]organisationNames{}
		organisationCount = 0
		for _, names := range remaining {
			organisationCount += len(names)
			request := kind.request
			request.Organisation, request.Class = names[0], Class(class)
			if change, changed := compareDecisions(old, next, request); changed {
				byChange[class][change] = append(byChange[class][change], names...)
			}
		}
	}
	var changes []Change
	for _, change := range sortedRoutingChanges(byChange) {
		interactive, batch := byChange[Interactive][change], byChange[Batch][change]
		if slices.Equal(interactive, batch) {
			changes = append(changes, kind.describe(change, interactive, organisationCount, ""))
			continue
		}
		for class, names := range []organisationNames{interactive, batch} {
			if len(names) > 0 {
				changes = append(changes, kind.describe(change, names, organisationCount, Class(class).String()))
			}
		}
	}
	return changes
}

// compareDecisions returns where each file sends a request, and whether the
// decisions differ.
func compareDecisions(old, next *Set, request Request) (routingChange, bool) {
	before, beforeDecided := old.Decide(request)
	after, afterDecided := next.Decide(request)
	before.Route, after.Route = nil, nil
	if before == after && beforeDecided == afterDecided {
		return routingChange{}, false
	}
	return routingChange{destinationText(before, beforeDecided), destinationText(after, afterDecided)}, true
}

// sortedRoutingChanges returns the routing changes of both classes, sorted and
// without duplicates.
func sortedRoutingChanges(byChange [classCount]map[routingChange]organisationNames) []routingChange {
	all := slices.AppendSeq(slices.Collect(maps.Keys(byChange[Interactive])), maps.Keys(byChange[Batch]))
	slices.SortFunc(all, func(a, b routingChange) int {
		if n := strings.Compare(a.before, b.before); n != 0 {
			return n
		}
		return strings.Compare(a.after, b.after)
	})
	return slices.Compact(all)
}

// describe returns the Change that reports a routing change for the named
// organisations. If these are all organisationCount organisations, it names none.
func (kind requestKind) describe(change routingChange, names organisationNames, organisationCount int, class string) Change {
	c := Change{Subject: kind.subject, Class: class, Effect: "goes to", Before: change.before, After: change.after}
	if change.after == noRouteText {
		c.Effect = "is"
	}
	if len(names) < organisationCount {
		c.Organisations = slices.Sorted(slices.Values(names))
	}
	return c
}

// noRouteText describes the destination of a request that no route matches.
const noRouteText = "refused: no route"

// destinationText describes where a request is sent.
func destinationText(d Decision, decided bool) string {
	if !decided {
		return noRouteText
	}
	return d.String()
}
