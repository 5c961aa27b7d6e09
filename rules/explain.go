package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Explanation lists which line decides a request and why each other route does
// not.
type Explanation struct {
	Request Request `json:"request"`
	// Decided is false if no route matches.
	Decided  bool     `json:"decided"`
	Decision Decision `json:"decision,omitzero"`
	// DecidingLine is the route that decides; nil if none does.
	DecidingLine *Source `json:"deciding,omitempty"`
	// OtherLines are the other routes in file order, each with the reason why
	// it does not decide.
	OtherLines []LineReason `json:"others"`
}

// LineReason is a route that does not decide a request, with the reason.
type LineReason struct {
	Source
	Why string `json:"why"`
}

// Explain returns the deciding route and, for each other route, why it does not
// decide. It scans all routes and is meant for diagnostics; Decide uses an index.
func (s *Set) Explain(r Request) Explanation {
	e := Explanation{Request: r, OtherLines: []LineReason{}}
	for i := range s.Routes {
		route := &s.Routes[i]
		why := route.mismatch(r)
		if why == "" && !e.Decided {
			e.Decided, e.Decision, e.DecidingLine = true, route.decision(), &route.Source
			continue
		}
		if why == "" {
			why = fmt.Sprintf("it would match, but line %d comes first", e.DecidingLine.Line)
		}
		e.OtherLines = append(e.OtherLines, LineReason{route.Source, why})
	}
	return e
}

// mismatch returns why the route does not match the request, or "" if it does.
func (r *Route) mismatch(q Request) string {
	switch {
	case len(r.Models) > 0 && q.Model == "":
		return "it is for models, and the request names none"
	case len(r.Models) > 0 && !slices.Contains(r.Models, q.Model):
		return fmt.Sprintf("it is for model %s", strings.Join(r.Models, ", "))
	case len(r.Models) == 0 && q.Model != "":
		return "it is for a path, and a request that names a model is routed by model only"
	case len(r.Models) == 0 && r.Method != "" && r.Method != q.Method:
		return fmt.Sprintf("it is for method %s", r.Method)
	case len(r.Models) == 0 && !r.matchesPath(q.Path):
		return fmt.Sprintf("it is for path %s", r.pathPattern())
	case len(r.Organisations) > 0 && !slices.Contains(r.Organisations, q.Organisation):
		return fmt.Sprintf("it is for organisation %s", strings.Join(r.Organisations, ", "))
	case !r.AnyClass && r.Class != q.Class:
		return fmt.Sprintf("it is for class %s", r.Class)
	}
	return ""
}

func (r *Route) matchesPath(path string) bool {
	if r.IsPrefix {
		return strings.HasPrefix(path, r.Path)
	}
	return path == r.Path
}

// pathPattern returns the path as written in the rules file.
func (r *Route) pathPattern() string {
	if r.IsPrefix {
		return r.Path + "*"
	}
	return r.Path
}
