package rules

import (
	"math"
	"slices"
)

// MaxIndexEntries is the maximum number of pairs of organisation and model, or
// organisation and path, in the routes of one file. It bounds the memory of the
// index.
const MaxIndexEntries = 100_000

// noRoute is a position after every route; it marks that no route matches.
const noRoute = math.MaxInt32

// noOrganisation is the position of an organisation that the file does not
// define.
const noOrganisation = -1

// firstRoutes holds, for each class, the position of the first route that
// matches, or noRoute.
type firstRoutes [classCount]int32

var noRouteByClass = firstRoutes{noRoute, noRoute}

// routeTable holds the routes of one model, or of one method and path pattern.
// byOrganisation has the routes that name organisations, keyed by the position of
// the organisation; anyOrganisation has the routes that name none.
type routeTable struct {
	anyOrganisation firstRoutes
	byOrganisation  map[int32]firstRoutes
}

// firstRoute returns the position of the first route for the organisation and
// class, or noRoute.
func (table *routeTable) firstRoute(org int32, class Class) int32 {
	best := table.anyOrganisation[class]
	if c, ok := table.byOrganisation[org]; ok {
		best = min(best, c[class])
	}
	return best
}

// methodTable is the routeTable of one method of a path pattern. The empty method
// stands for routes for any method.
type methodTable struct {
	method string
	routeTable
}

// methodTables holds the tables of one path pattern. It is a slice because there
// are only a few HTTP methods.
type methodTables []*methodTable

// find returns the table of a method, or nil.
func (tables methodTables) find(method string) *routeTable {
	for _, table := range tables {
		if table.method == method {
			return &table.routeTable
		}
	}
	return nil
}

// index finds the first matching route without scanning all routes. For each
// combination of model or path pattern, organisation and class it keeps only the
// first route, because the first match wins.
type index struct {
	models   map[string]*routeTable
	exact    map[string]methodTables
	prefixes map[string]methodTables
	// prefixLengths are the different lengths of the keys of prefixes, in
	// ascending order.
	prefixLengths []int
	// entries counts the pairs that MaxIndexEntries limits.
	entries int
}

// buildIndex adds all routes to the index, in file order.
func (p *parser) buildIndex() {
	s := p.set
	x := &s.index
	x.models = make(map[string]*routeTable)
	x.exact = make(map[string]methodTables)
	x.prefixes = make(map[string]methodTables)
	for i := range s.Routes {
		r := &s.Routes[i]
		for _, table := range x.tablesFor(r) {
			x.add(table, s, r, int32(i))
			if x.entries > MaxIndexEntries {
				p.report.errorf(r.Line, "route", "the routes up to this line name more than %d pairs of organisation and model; remove organisations that need no route of their own", MaxIndexEntries)
				return
			}
		}
	}
	for prefix := range x.prefixes {
		x.prefixLengths = append(x.prefixLengths, len(prefix))
	}
	slices.Sort(x.prefixLengths)
	x.prefixLengths = slices.Compact(x.prefixLengths)
}

// tablesFor returns the tables that a route belongs to and creates missing ones.
func (x *index) tablesFor(r *Route) []*routeTable {
	if len(r.Models) == 0 {
		return []*routeTable{x.pathTable(r)}
	}
	tables := make([]*routeTable, 0, len(r.Models))
	for _, m := range r.Models {
		table := x.models[m]
		if table == nil {
			table = &routeTable{anyOrganisation: noRouteByClass}
			x.models[m] = table
		}
		tables = append(tables, table)
	}
	return tables
}

// pathTable returns the table of a route by path and creates it if missing.
func (x *index) pathTable(r *Route) *routeTable {
	paths := x.exact
	if r.IsPrefix {
		paths = x.prefixes
	}
	if table := paths[r.Path].find(r.Method); table != nil {
		return table
	}
	table := &methodTable{r.Method, routeTable{anyOrganisation: noRouteByClass}}
	paths[r.Path] = append(paths[r.Path], table)
	return &table.routeTable
}

// add adds a route to a table, for each organisation and class of the route that
// has no earlier one.
func (x *index) add(table *routeTable, s *Set, r *Route, position int32) {
	if len(r.Organisations) == 0 {
		table.anyOrganisation = table.anyOrganisation.withRoute(r, position)
		return
	}
	if table.byOrganisation == nil {
		table.byOrganisation = make(map[int32]firstRoutes, len(r.Organisations))
	}
	x.entries += len(r.Organisations)
	for _, name := range r.Organisations {
		org := s.names.organisations[name]
		c, ok := table.byOrganisation[org]
		if !ok {
			c = noRouteByClass
		}
		table.byOrganisation[org] = c.withRoute(r, position)
	}
}

// withRoute returns a copy of c in which the route is the first one of each of
// its classes that has no earlier route.
func (c firstRoutes) withRoute(r *Route, position int32) firstRoutes {
	for class := range c {
		if r.AnyClass || r.Class == Class(class) {
			c[class] = min(c[class], position)
		}
	}
	return c
}

// visitPath calls visit for each table whose path pattern matches path and whose
// method is method or any. With an empty method it visits only the tables for any
// method.
func (x *index) visitPath(method, path string, visit func(*routeTable)) {
	visitMethods(x.exact[path], method, visit)
	x.visitPrefixes(method, path, visit)
}

// visitPrefixes is like visitPath but visits only patterns that end in a star.
func (x *index) visitPrefixes(method, path string, visit func(*routeTable)) {
	for _, length := range x.prefixLengths {
		if length > len(path) {
			return
		}
		visitMethods(x.prefixes[path[:length]], method, visit)
	}
}

func visitMethods(tables methodTables, method string, visit func(*routeTable)) {
	for _, table := range tables {
		if table.method == "" || table.method == method {
			visit(&table.routeTable)
		}
	}
}

// Decide returns where the first matching route sends r, and false if no route
// matches. Its run time does not depend on the number of routes or organisations.
func (s *Set) Decide(r Request) (Decision, bool) {
	org, ok := s.names.organisations[r.Organisation]
	if !ok {
		org = noOrganisation
	}
	if r.Class >= classCount {
		r.Class = Interactive
	}
	best := int32(noRoute)
	visit := func(table *routeTable) { best = min(best, table.firstRoute(org, r.Class)) }
	if r.Model == "" {
		s.index.visitPath(r.Method, r.Path, visit)
	} else if table := s.index.models[r.Model]; table != nil {
		visit(table)
	}
	if best == noRoute {
		return Decision{}, false
	}
	return s.Routes[best].decision(), true
}
