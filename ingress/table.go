package ingress

import (
	"fmt"
	"slices"
	"strings"
)

// Table looks up the routes, services and organisations of one Config.
type Table struct {
	config *Config
	// routesByHost holds the routes of each normalized host, longest prefix first.
	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	// organisationsByKey holds the organisation of each key.
	organisationsByKey map[string]*Organisation
	// urgencies are the urgencies that requests for each service may have, most urgent
	// first.
	urgencies map[string][]urgency
}

// NewTable returns the lookup form of c. The caller must not change c afterwards.
// NewTable fails at the first invalid route: one without services or with a
// negative weight.
func NewTable(c *Config) (*Table, error) {
	t := &Table{
		config:             c,
		routesByHost:       make(map[string][]*Route),
		servicesByName:     make(map[string]*Service, len(c.Services)),
		organisationsByKey: make(map[string]*Organisation),
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key != "" { // Requests without a key belong to no organisation.
				t.organisationsByKey[key] = &c.Organisations[i]
			}
		}
	}
	t.urgencies = urgenciesOf(c)
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if len(r.Split) == 0 {
		return fmt.Errorf("ingress: route %q has no services", r.Name)
	}
	for _, s := range r.Split {
		if s.Weight < 0 {
			return fmt.Errorf("ingress: route %q: service %q has a negative weight", r.Name, s.Service)
		}
	}
	host := normalizeHost(r.Host)
	t.routesByHost[host] = append(t.routesByHost[host], r)
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Config returns the Config of the table. It is shared and must not be changed.
func (t *Table) Config() *Config { return t.config }

// Limits returns the limits on the requests and connections of callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route of host with the longest prefix that matches path, or
// nil if none matches. The port and the case of host are ignored.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// Services returns all services. The slice is shared and must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// RequiresOrganisation reports whether a request with the given key, empty if it has
// none, must belong to an organisation, unless its route is public. Only a request
// without a key need not, and only while the configuration contains no organisation.
// A key that no organisation holds may have been revoked with the last one.
func (t *Table) RequiresOrganisation(key string) bool {
	return key != "" || len(t.config.Organisations) > 0
}

// Organisation returns the organisation to which key belongs, or nil if key is
// unknown.
func (t *Table) Organisation(key string) *Organisation { return t.organisationsByKey[key] }

// ChooseService returns the service that the random number draw, in [0, 1),
// selects in proportion to the weights of the split. If all weights are zero it
// returns the last service.
func (r *Route) ChooseService(draw float64) string {
	totalWeight := 0
	for _, s := range r.Split {
		totalWeight += s.Weight
	}
	remaining := draw * float64(totalWeight)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// normalizeHost returns host in lower case and without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
