package rules

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// mechanismDisabled reports whether the test runs with the mechanism disabled, to
// show that the test fails without it.
func mechanismDisabled(mechanism string) bool { return os.Getenv("BBW_WITHOUT") == mechanism }

var (
	organisationPool = []string{"a", "b", "c"}
	modelPool        = []string{"m1", "m2"}
	pathPool         = []string{"/", "/a", "/a/", "/a/b", "/a/bc", "/z"}
	methodPool       = []string{"GET", "POST", "any"}
)

// drawText draws a rules file of up to 12 routes. They use only a few names, so
// that routes often overlap.
func drawText(t *rapid.T) string {
	var b strings.Builder
	for i, o := range rapid.Permutation(organisationPool).Draw(t, "organisations")[:rapid.IntRange(1, 3).Draw(t, "count")] {
		fmt.Fprintf(&b, "organisation %s token sha256:%064x share %d # asked for by t\n", o, i, i+1)
	}
	b.WriteString("group g1 models m1,m2 # asked for by t\ngroup g2 models m1,m2 # asked for by t\nservice s # asked for by t\n")
	defined := organisationPool
	for _, o := range organisationPool {
		if !strings.Contains(b.String(), "organisation "+o+" ") {
			defined = slices.DeleteFunc(slices.Clone(defined), func(name string) bool { return name == o })
		}
	}
	for range rapid.IntRange(0, 12).Draw(t, "routes") {
		b.WriteString("route " + drawMatch(t))
		if rapid.Bool().Draw(t, "named") {
			names := rapid.SliceOfNDistinct(rapid.SampledFrom(defined), 1, len(defined), rapid.ID[string]).Draw(t, "names")
			b.WriteString(" organisation " + strings.Join(names, ","))
		}
		b.WriteString(rapid.SampledFrom([]string{"", "", " class interactive", " class batch"}).Draw(t, "class"))
		b.WriteString(rapid.SampledFrom([]string{" to group g1", " to group g2 once", " to service s timeout 1s"}).Draw(t, "to"))
		b.WriteString(" # asked for by t\n")
	}
	return b.String()
}

func drawMatch(t *rapid.T) string {
	if rapid.Bool().Draw(t, "model") {
		return "model " + rapid.SampledFrom([]string{"m1", "m2", "m1,m2"}).Draw(t, "models")
	}
	star := rapid.SampledFrom([]string{"", "*"}).Draw(t, "star")
	return rapid.SampledFrom(methodPool).Draw(t, "method") + " " + rapid.SampledFrom(pathPool).Draw(t, "path") + star
}

func drawSet(t *rapid.T) *Set {
	text := drawText(t)
	s, problems := Parse("drawn", []byte(text))
	if s == nil {
		t.Fatalf("%s\n%v", text, problems)
	}
	return s
}

// requestsOfEachKind returns a request of each kind that drawn routes can
// distinguish.
func requestsOfEachKind(s *Set) []Request {
	var all []Request
	for _, o := range s.Organisations {
		for class := range Class(classCount) {
			for _, m := range modelPool {
				all = append(all, Request{Model: m, Organisation: o.Name, Class: class})
			}
			for _, p := range pathPool {
				for _, method := range []string{"GET", "POST", "PUT"} {
					all = append(all,
						Request{Method: method, Path: p, Organisation: o.Name, Class: class},
						Request{Method: method, Path: p + "~", Organisation: o.Name, Class: class})
				}
			}
		}
	}
	return all
}

// decideByScan is a reference implementation of Decide that scans the routes in
// file order.
func decideByScan(s *Set, q Request) (Decision, bool) {
	for i := range s.Routes {
		if s.Routes[i].mismatch(q) == "" {
			return s.Routes[i].decision(), true
		}
	}
	return Decision{}, false
}

func TestDecideIsFirstMatchingLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		if mechanismDisabled("prefixes") {
			s.index.prefixLengths = nil
		}
		requests := append(requestsOfEachKind(s), Request{Model: "m1"}, Request{Model: "?"}, Request{Method: "GET", Path: "/a"})
		for _, q := range requests {
			want, wantOK := decideByScan(s, q)
			got, ok := s.Decide(q)
			e := s.Explain(q)
			if got != want || ok != wantOK || e.Decision != want || e.Decided != ok {
				t.Fatalf("%v: got %v, want %v, explained %v", q, got, want, e.Decision)
			}
			if explained := len(e.OtherLines); ok && explained+1 != len(s.Routes) || !ok && explained != len(s.Routes) {
				t.Fatalf("%v: %d other lines explained of %d", q, explained, len(s.Routes))
			}
		}
	})
}

// A route is reported as shadowed if and only if it decides no request.
func TestShadowedLinesAreThoseThatDecideNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSet(t)
		decides := map[int]bool{}
		for _, q := range requestsOfEachKind(s) {
			if d, ok := decideByScan(s, q); ok {
				decides[d.Route.Line] = true
			}
		}
		r := &report{}
		maxLookups := maxShadowLookups
		if mechanismDisabled("shadow-search") {
			maxLookups = 0
		}
		s.warnShadowed(r, maxLookups)
		for i := range s.Routes {
			line := s.Routes[i].Line
			warned := slices.ContainsFunc(r.listed, func(p Problem) bool { return p.Line == line })
			if warned == decides[line] {
				t.Fatalf("line %d: warned %v, decides %v: %v", line, warned, decides[line], r.listed)
			}
		}
	})
}

// visibleChange is a routing change as one organisation and class sees it. The
// model, organisation and class are set only for routes by model, because one path
// represents many.
type visibleChange struct {
	routingChange
	model, organisation string
	class               Class
}

// expandChange returns one visibleChange for each organisation and class that a
// change of a model affects, and a single one for a change of a path.
func expandChange(c Change, remaining []string) []visibleChange {
	model, ok := strings.CutPrefix(c.Subject, "model ")
	if !ok {
		return []visibleChange{{routingChange: routingChange{c.Before, c.After}}}
	}
	names := c.Organisations
	if len(names) == 0 {
		names = remaining
	}
	var all []visibleChange
	for _, name := range names {
		for class := range Class(classCount) {
			if c.Class == "" || c.Class == class.String() {
				all = append(all, visibleChange{routingChange{c.Before, c.After}, model, name, class})
			}
		}
	}
	return all
}

// Diff lists a routing change if and only if it affects an organisation that is in
// both files.
func TestDiffListsWhatCallersSee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawSet(t), drawSet(t)
		want, got := map[visibleChange]bool{}, map[visibleChange]bool{}
		var remaining []string
		for _, o := range old.Organisations {
			if next.Organisation(o.Name) != nil {
				remaining = append(remaining, o.Name)
			}
		}
		for _, q := range requestsOfEachKind(old) {
			change := routingChange{destinationText(decideByScan(old, q)), destinationText(decideByScan(next, q))}
			switch {
			case !slices.Contains(remaining, q.Organisation) || change.before == change.after:
			case q.Model == "":
				want[visibleChange{routingChange: change}] = true
			default:
				want[visibleChange{change, q.Model, q.Organisation, q.Class}] = true
			}
		}
		changes := diffRouting(old, next)
		if mechanismDisabled("callers") {
			changes = nil
			first := remainingOrganisations(old, next, true)
			for _, p := range requestKinds(old, next) {
				changes = append(changes, diffRequestKind(old, next, p, first[:min(len(first), 1)])...)
			}
		}
		for _, c := range changes {
			for _, s := range expandChange(c, remaining) {
				got[s] = true
			}
		}
		if !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		assert.Equal(t, len(Diff(old, old)), 0)
	})
}

func TestAuthenticateOnlyTheHashedToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := rapid.StringN(1, -1, -1).Draw(t, "token")
		text := fmt.Sprintf("organisation a token sha256:%x,sha256:%x # asked for by t\n", HashToken(token), HashToken("next"))
		s, problems := Parse("drawn", []byte(text))
		assert.Assert(t, s != nil, "%v", problems)
		for _, known := range []string{token, "next"} {
			o, ok := s.Authenticate(known)
			assert.Assert(t, ok && o.Name == "a")
		}
		for _, wrong := range []string{token + "x", fmt.Sprintf("%x", HashToken(token)), "Next"} {
			_, ok := s.Authenticate(wrong)
			assert.Assert(t, !ok)
		}
	})
}
