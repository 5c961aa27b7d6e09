package rules

import (
	"slices"
	"strings"
	"time"
)

// MaxRoutes is the largest number of routes in one file.
const MaxRoutes = 10_000

// parseRoute parses a route.
func (p *parser) parseRoute() {
	r := Route{Source: p.line.source, AnyClass: true}
	if !p.parseMatch(&r) {
		return
	}
	if len(p.set.Routes) == MaxRoutes {
		p.errorf("route", "exceeds the limit of %d routes in a file", MaxRoutes)
		return
	}
	if p.parseClauses("route",
		clause{"organisation", func() (ok bool) { r.Organisations, ok = p.parseList("organisation", checkName); return ok }},
		clause{"class", func() bool { return p.parseClass(&r) }},
		clause{"to", func() bool { return p.parseTarget(&r) }},
		clause{"once", func() bool { r.AtMostOnce = true; return true }},
		clause{"timeout", func() bool { return p.parseTimeout(&r) }},
	) && p.requireClause("to", "to group drafts") {
		p.set.Routes = append(p.set.Routes, r)
	}
}

// parseMatch parses what a route matches: "model LIST" or "METHOD PATH".
func (p *parser) parseMatch(r *Route) (ok bool) {
	word, ok := p.nextWord("route", "\"model NAME\" or \"METHOD /path\"")
	if !ok {
		return false
	}
	if word == "model" {
		r.Models, ok = p.parseList("model", checkModel)
		return ok
	}
	if word != anyMethod {
		if !isMethod(word) {
			p.unknownWord("method", word, append([]string{"model", anyMethod}, methods...))
			return false
		}
		r.Method = word
	}
	return p.parsePath(r)
}

// anyMethod is the word in a route that matches every method.
const anyMethod = "any"

// methods are the HTTP methods that routes and requests may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func isMethod(word string) bool { return slices.Contains(methods, word) }

// maxPathBytes is the maximum length of a path in a route, with its star.
const maxPathBytes = 512

// parsePath parses a path, which may end in a star.
func (p *parser) parsePath(r *Route) bool {
	word, ok := p.nextWord("path", "a path like /pledges or /forms/*")
	if !ok {
		return false
	}
	r.Path, r.IsPrefix = strings.CutSuffix(word, "*")
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		p.errorf("path", "%q does not begin with /", word)
	case strings.Contains(r.Path, "*"):
		p.errorf("path", "%q has a star before its end; a star is allowed only at the end", word)
	case strings.ContainsAny(r.Path, "?"):
		p.errorf("path", "%q has a query; routes match only the path", word)
	case len(word) > maxPathBytes:
		p.errorf("path", "has %d bytes; at most %d are allowed", len(word), maxPathBytes)
	default:
		return true
	}
	return false
}

// parseClass parses the class that a route matches.
func (p *parser) parseClass(r *Route) bool {
	word, ok := p.nextWord("class", "interactive or batch")
	if !ok {
		return false
	}
	r.AnyClass = false
	if r.Class, ok = ParseClass(word); !ok {
		p.unknownWord("class", word, []string{"interactive", "batch"})
	}
	return ok
}

// parseTarget parses the group or service that a route leads to.
func (p *parser) parseTarget(r *Route) bool {
	kind, ok := p.nextWord("to", "\"group NAME\" or \"service NAME\"")
	if !ok {
		return false
	}
	switch kind {
	case "group":
		r.Kind = ToGroup
	case "service":
		r.Kind = ToService
	default:
		p.unknownWord("to", kind, []string{"group", "service"})
		return false
	}
	r.Target, ok = p.parseName("to " + kind)
	return ok
}

// The timeout of a route must be in this range.
const (
	minTimeout = 10 * time.Millisecond
	maxTimeout = time.Hour
)

// parseTimeout parses the time limit for requests on a route.
func (p *parser) parseTimeout(r *Route) bool {
	word, ok := p.nextWord("timeout", "a duration like 30s")
	if !ok {
		return false
	}
	d, err := time.ParseDuration(word)
	if err != nil {
		p.errorf("timeout", "%q is not a duration; write for example 30s or 2m", word)
		return false
	}
	if d < minTimeout || d > maxTimeout {
		p.errorf("timeout", "%s is outside %s to %s", word, minTimeout, maxTimeout)
		return false
	}
	r.Timeout = d
	return true
}
