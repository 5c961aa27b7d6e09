package ingress

import (
	"fmt"
	"slices"
	"strings"
)

// Table looks up routes, services and keys of one Config.
type Table struct {
	config   *Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// NewTable returns the lookup form of c, which must not be changed afterwards.
// The error names the first route that cannot be served.
func NewTable(c *Config) (*Table, error) {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Organisation),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.keys[key] = &c.Organisations[i]
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if len(r.Split) == 0 {
		return fmt.Errorf("ingress: route %q leads to no service", r.Name)
	}
	for _, s := range r.Split {
		if s.Weight < 0 {
			return fmt.Errorf("ingress: route %q: the weight of service %q is negative", r.Name, s.Service)
		}
	}
	host := normalHost(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

// Version returns the version of the Config.
func (t *Table) Version() int64 { return t.config.Version }

// Config returns the Config, which must not be changed.
func (t *Table) Config() *Config { return t.config }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route of the host with the longest prefix that begins
// path, or nil. The port of host is ignored.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services. The slice is shared.
func (t *Table) Services() []Service { return t.config.Services }

// Keyed says that requests need the key of an organisation, unless their route
// is public.
func (t *Table) Keyed() bool { return len(t.config.Organisations) > 0 }

// Organisation returns the organisation that holds the key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Choose returns the service for a draw in [0, 1), by the weights of the split.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
