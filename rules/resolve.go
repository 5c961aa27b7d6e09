package rules

import "slices"

// resolve checks the references between lines. It reports names and tokens that
// are defined twice, names that are used but not defined, and routes to a group
// for models that the group does not serve.
func (p *parser) resolve() {
	s := p.set
	s.names = nameIndex{
		organisations: make(map[string]int32, len(s.Organisations)),
		groups:        make(map[string]int32, len(s.Groups)),
		services:      make(map[string]int32, len(s.Services)),
		models:        map[string]bool{},
	}
	for i, o := range s.Organisations {
		p.defineName("organisation", s.names.organisations, o.Name, i, o.Line, func(i int32) int { return s.Organisations[i].Line })
	}
	for i, g := range s.Groups {
		p.defineName("group", s.names.groups, g.Name, i, g.Line, func(i int32) int { return s.Groups[i].Line })
		for _, m := range g.Models {
			s.names.models[m] = true
		}
	}
	for i, v := range s.Services {
		p.defineName("service", s.names.services, v.Name, i, v.Line, func(i int32) int { return s.Services[i].Line })
	}
	p.resolveTokens()
	defined := newDefinedNames(s)
	for i := range s.Routes {
		p.resolveRoute(&s.Routes[i], defined)
	}
}

// defineName adds a name with its position i and reports an error if an earlier
// line defines it.
func (p *parser) defineName(field string, known map[string]int32, name string, i, line int, lineOf func(int32) int) {
	if first, ok := known[name]; ok {
		p.report.errorf(line, field, "%q is already defined in line %d", name, lineOf(first))
		return
	}
	known[name] = int32(i)
}

// resolveTokens maps each token to its organisation and reports tokens that are
// used more than once.
func (p *parser) resolveTokens() {
	s := p.set
	s.tokens = make(map[TokenHash]int32, len(s.Organisations))
	for i, o := range s.Organisations {
		for _, h := range o.Tokens {
			if first, ok := s.tokens[h]; ok {
				p.report.errorf(o.Line, "token", "the same token is already used in line %d; each organisation needs its own", s.Organisations[first].Line)
				continue
			}
			s.tokens[h] = int32(i)
		}
	}
}

// definedNames holds the names that a file defines, sorted. Suggestions are chosen
// from them.
type definedNames struct {
	organisations, groups, services []string
}

func newDefinedNames(s *Set) definedNames {
	return definedNames{sortedKeys(s.names.organisations), sortedKeys(s.names.groups), sortedKeys(s.names.services)}
}

// resolveRoute reports names in a route that are not defined, and models that the
// target group does not serve.
func (p *parser) resolveRoute(r *Route, defined definedNames) {
	s := p.set
	for _, name := range r.Organisations {
		if _, ok := s.names.organisations[name]; !ok {
			p.undefinedName(r.Line, "organisation", name, defined.organisations)
		}
	}
	if r.Kind == ToService {
		if _, ok := s.names.services[r.Target]; !ok {
			p.undefinedName(r.Line, "to service", r.Target, defined.services)
		}
		return
	}
	i, ok := s.names.groups[r.Target]
	if !ok {
		p.undefinedName(r.Line, "to group", r.Target, defined.groups)
		return
	}
	g := &s.Groups[i]
	if len(g.Models) == 0 {
		return // the missing models are already reported on the line of the group
	}
	for _, m := range r.Models {
		switch {
		case slices.Contains(g.Models, m):
		case p.report.errorLimitReached():
			return
		default:
			p.report.errorf(r.Line, "model", "group %q (line %d) does not serve %q%s", g.Name, g.Line, m, suggestion(m, g.Models))
		}
	}
}

// undefinedName reports a name that no line defines. Once no further error is
// listed it skips the costly suggestion.
func (p *parser) undefinedName(line int, field, name string, known []string) {
	if p.report.errorLimitReached() {
		p.report.errorf(line, field, "")
		return
	}
	p.report.errorf(line, field, "%q is not defined%s", name, suggestion(name, known))
}
