package routetable

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// Table is an index of one routing configuration. It is built once per revision and is safe
// for concurrent readers.
type Table struct {
	Config *core.RoutingConfig
	routes map[string]map[string]*core.Route // by host name, then by prefix
	teams  map[string]*core.TeamKeys         // by key
	pools  map[core.PoolID]*core.PoolSpec
}

// New returns the table of a configuration.
func New(config *core.RoutingConfig) *Table {
	t := &Table{
		Config: config,
		routes: map[string]map[string]*core.Route{},
		teams:  map[string]*core.TeamKeys{},
		pools:  map[core.PoolID]*core.PoolSpec{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*core.Route{}
		}
		t.routes[host][route.Prefix] = route
	}
	for i := range config.Teams {
		for _, key := range config.Teams[i].Keys {
			t.teams[key] = &config.Teams[i]
		}
	}
	for i := range config.Pools {
		t.pools[config.Pools[i].ID] = &config.Pools[i]
	}
	return t
}

// Route returns the route of a host name with the longest prefix that matches the path, or
// nil. A port in the host name is ignored.
func (t *Table) Route(host, path string) *core.Route {
	prefixes := t.routes[strings.ToLower(withoutPort(host))]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

func withoutPort(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		return host[:at]
	}
	return host
}

// NeedsKeys reports whether requests on routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return t.Config.Teams != nil }

// Team returns the team that a key belongs to, or nil.
func (t *Table) Team(key string) *core.TeamKeys { return t.teams[key] }

// Pool returns the declaration of a pool, or nil.
func (t *Table) Pool(id core.PoolID) *core.PoolSpec { return t.pools[id] }

// SelectPool returns the pool for a request of a route, or an empty identifier if no weight is
// positive. Requests are distributed in proportion to the weights; the same request always
// goes to the same pool.
func (t *Table) SelectPool(route *core.Route, request string) core.PoolID {
	total := 0
	for _, split := range route.Splits {
		total += max(split.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(request) % uint64(total))
	for _, split := range route.Splits {
		if at -= max(split.Weight, 0); at < 0 {
			return split.Pool
		}
	}
	return ""
}
