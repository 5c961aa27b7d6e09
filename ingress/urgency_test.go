package ingress

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an urgent route that is served like any other because its callers'
// organisations have a priority, and against a route that overrides that priority.
func TestPriorityIsThatOfTheOrganisationThenOfTheRoute(t *testing.T) {
	route := func(name string, priority int, services ...string) Route {
		r := Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority}
		for _, s := range services {
			r.Split = append(r.Split, Share{Service: s, Weight: 1})
		}
		return r
	}
	c := &Config{
		Routes:        []Route{route("chat", 0, "model"), route("draft", 2, "model", "other"), route("book", 7, "plain")},
		Organisations: []Organisation{{Name: "first", HasPriority: true}, {Name: "second", Priority: 1, HasPriority: true}, {Name: "none"}},
	}
	table, err := NewTable(c)
	assert.NilError(t, err)
	chat, draft, book := &c.Routes[0], &c.Routes[1], &c.Routes[2]
	first, second, none := &c.Organisations[0], &c.Organisations[1], &c.Organisations[2]
	const levels = 9
	order := []struct {
		route        *Route
		organisation *Organisation
	}{{chat, first}, {draft, first}, {chat, second}, {draft, second}, {draft, none}}
	for i, o := range order {
		assert.Equal(t, table.Priority("model", o.route, o.organisation, levels), i)
	}
	assert.Equal(t, table.Priority("model", chat, none, levels), table.Priority("model", chat, first, levels))
	assert.Equal(t, table.Priority("model", draft, nil, levels), table.Priority("model", draft, none, levels))

	// Only the requests for the same service are compared.
	assert.Equal(t, table.Priority("plain", book, first, levels), 0)
	assert.Equal(t, table.Priority("other", draft, first, levels), 0)
	assert.Equal(t, table.Priority("unknown", draft, first, levels), 0)
}

// With more urgencies than levels, none may be beyond the last level, and a more urgent
// request never comes after a less urgent one.
func TestPrioritiesFitTheLevels(t *testing.T) {
	c := &Config{}
	for p := range 12 {
		c.Routes = append(c.Routes, Route{Host: "h", Prefix: "/", Priority: p, Split: []Share{{Service: "s", Weight: 1}}})
	}
	table, err := NewTable(c)
	assert.NilError(t, err)
	last := 0
	for i := range c.Routes {
		p := table.Priority("s", &c.Routes[i], nil, 5)
		assert.Assert(t, p >= last && p < 5)
		last = p
	}
	assert.Equal(t, table.Priority("s", &c.Routes[0], nil, 5), 0)
	assert.Equal(t, last, 4)
}
