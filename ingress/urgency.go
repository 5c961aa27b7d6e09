package ingress

import (
	"cmp"
	"slices"
)

// urgency orders requests; lower values are more urgent. The priority of the organisation
// takes precedence over that of the route, which decides between requests of equal
// organisation priority. A request without an organisation priority has the priority of its
// route as both.
type urgency struct{ organisation, route int }

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.organisation, other.organisation), cmp.Compare(u.route, other.route))
}

// urgencyOf returns the urgency of a request. organisation is nil if it has none.
func urgencyOf(r *Route, organisation *Organisation) urgency {
	if organisation != nil && organisation.HasPriority {
		return urgency{organisation.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

// urgenciesOf returns the urgencies that requests for each service may have, most urgent
// first.
func urgenciesOf(c *Config) map[string][]urgency {
	routePriorities := make(map[string][]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Split {
			if known := routePriorities[share.Service]; !slices.Contains(known, r.Priority) {
				routePriorities[share.Service] = append(known, r.Priority)
			}
		}
	}
	out := make(map[string][]urgency, len(routePriorities))
	for service, priorities := range routePriorities {
		out[service] = combineUrgencies(priorities, c.Organisations)
	}
	return out
}

// combineUrgencies returns the urgencies of the requests that organisations send on routes
// with the given priorities, most urgent first.
func combineUrgencies(routePriorities []int, organisations []Organisation) []urgency {
	var out []urgency
	for _, p := range routePriorities {
		r := &Route{Priority: p}
		out = append(out, urgencyOf(r, nil))
		for i := range organisations {
			if u := urgencyOf(r, &organisations[i]); !slices.Contains(out, u) {
				out = append(out, u)
			}
		}
	}
	slices.SortFunc(out, urgency.compare)
	return out
}

// Priority returns the priority of a request among the requests for a service, from 0, the
// most urgent, to levels-1. If the configuration tells more urgencies apart than levels,
// neighbours share one. organisation is nil if the request has none.
func (t *Table) Priority(service string, r *Route, organisation *Organisation, levels int) int {
	urgencies := t.urgencies[service]
	rank, _ := slices.BinarySearchFunc(urgencies, urgencyOf(r, organisation), urgency.compare)
	if len(urgencies) > levels {
		rank = rank * levels / len(urgencies)
	}
	return min(rank, levels-1)
}
