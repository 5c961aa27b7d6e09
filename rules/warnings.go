package rules

// warn reports rules that are valid but probably not what was intended.
func (s *Set) warn(r *report) {
	s.warnShadowed(r, maxShadowLookups)
	reachable := s.reachableTargets()
	s.warnUnused(r, reachable)
	s.warnLimits(r, reachable)
}

// warnUnused reports organisations that no route matches, groups and services that
// no route leads to, and models of groups that no route names.
func (s *Set) warnUnused(r *report, reachable reachableTargets) {
	used := map[target]bool{}
	routed := map[string]bool{}
	for i := range s.Routes {
		used[s.targetOfRoute(&s.Routes[i])] = true
		for _, m := range s.Routes[i].Models {
			routed[m] = true
		}
	}
	for i, o := range s.Organisations {
		if len(reachable.shared)+len(reachable.byOrganisation[i]) == 0 {
			r.warnf(o.Line, "organisation", "no route matches %q; all its requests are refused", o.Name)
		}
	}
	for i, g := range s.Groups {
		if !used[target{ToGroup, int32(i)}] {
			r.warnf(g.Line, "group", "no route leads to %q", g.Name)
			continue
		}
		for _, m := range g.Models {
			if !routed[m] {
				r.warnf(g.Line, "models", "no route names model %q; requests for it are refused", m)
			}
		}
	}
	for i, v := range s.Services {
		if !used[target{ToService, int32(i)}] {
			r.warnf(v.Line, "service", "no route leads to %q", v.Name)
		}
	}
}
