package catalog

import (
	"sort"
	"strings"
)

// Table looks up routes and services of one configuration. It is immutable and safe for concurrent use.
type Table struct {
	config   *Config
	hosts    map[string]*hostRoutes
	routes   map[string]*Route
	services map[string]*Service
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	prefixes map[string]*Route // by path prefix
	lengths  []int             // the distinct lengths of the prefixes, longest first
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(config *Config) *Table {
	table := &Table{
		config:   config,
		hosts:    map[string]*hostRoutes{},
		routes:   make(map[string]*Route, len(config.Routes)),
		services: make(map[string]*Service, len(config.Services)),
	}
	for i := range config.Services {
		service := &config.Services[i]
		table.services[service.Name] = service
	}
	for i := range config.Routes {
		table.addRoute(&config.Routes[i])
	}
	for _, host := range table.hosts {
		host.indexLengths()
	}
	return table
}

func (t *Table) addRoute(route *Route) {
	t.routes[route.Name] = route
	name := strings.ToLower(route.Hostname)
	host := t.hosts[name]
	if host == nil {
		host = &hostRoutes{prefixes: map[string]*Route{}}
		t.hosts[name] = host
	}
	host.prefixes[route.PathPrefix] = route
}

func (h *hostRoutes) indexLengths() {
	seen := map[int]bool{}
	for path := range h.prefixes {
		if !seen[len(path)] {
			seen[len(path)] = true
			h.lengths = append(h.lengths, len(path))
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(h.lengths)))
}

// Match returns the route of the host with the longest prefix of the path, and its service. The host is compared
// case-insensitively and without its port. The path is that of the request line, without the query.
func (t *Table) Match(host, path string) (*Route, *Service, bool) {
	routes := t.hosts[normalizeHost(host)]
	if routes == nil {
		return nil, nil, false
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if route := routes.prefixes[path[:length]]; route != nil {
			return route, t.services[route.Service], true
		}
	}
	return nil, nil, false
}

// MatchMessage returns the route of a message with this host and request target, and its service. There is none if the host and path match no
// route, or one that takes no messages.
func (t *Table) MatchMessage(host, target string) (*Route, *Service, bool) {
	path, _, _ := strings.Cut(target, "?")
	route, service, ok := t.Match(host, path)
	if !ok || service == nil || route.Type != RouteTypeAsync {
		return nil, nil, false
	}
	return route, service, true
}

// RoutesAlike reports whether every message has a route of the same name, and the same order, in both tables. other may be nil.
func (t *Table) RoutesAlike(other *Table) bool {
	if other == nil || len(t.routes) != len(other.routes) {
		return false
	}
	for name, route := range t.routes {
		known := other.routes[name]
		if known == nil || known.Hostname != route.Hostname || known.PathPrefix != route.PathPrefix || known.Type != route.Type || known.FIFO != route.FIFO {
			return false
		}
	}
	return true
}

// Route returns the route with a name.
func (t *Table) Route(name string) (*Route, bool) {
	route, ok := t.routes[name]
	return route, ok
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Config returns the configuration that the table indexes.
func (t *Table) Config() *Config { return t.config }

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
