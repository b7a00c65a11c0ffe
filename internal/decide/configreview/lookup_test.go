package configreview

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routetable"
)

// TestFindingsAgreeWithLookup guards against a review that calls an entry unreachable which traffic uses, or the other
// way round: the table that traffic uses is asked for the routes, services and tenants of all requests.
func TestFindingsAgreeWithLookup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		findings := Check(document, nil, Bounds{}).Findings
		found := func(section Section, index int, codes ...Code) bool {
			for _, f := range findings {
				for _, code := range codes {
					if f.Section == section && f.Index == index && f.Code == code {
						return true
					}
				}
			}
			return false
		}
		table := routetable.New(document.routing())
		used := map[string]bool{}
		for i := range document.Routes {
			path := document.Routes[i].Prefix // the shortest path of a request that could match
			matches := strings.HasPrefix(path, "/") && table.Route(document.Routes[i].Host, path) == &table.Config.Routes[i]
			require.Equal(t, !matches, found(SectionRoute, i, Shadowed, HostNeverMatches, PrefixNeverMatches), "route %d", i)
			selected := map[core.PoolID]bool{}
			for request := range 200 {
				selected[table.SelectPool(&table.Config.Routes[i], fmt.Sprint(request))] = true
			}
			require.Equal(t, selected[""], found(SectionRoute, i, NoWeight, NoService), "route %d", i)
			delete(selected, "")
			for pool := range selected {
				used[string(pool)] = used[string(pool)] || matches
			}
		}
		for i, service := range document.Services {
			require.Equal(t, !used[service.Name], found(SectionService, i, ServiceUnused), "service %d", i)
		}
		for i, tenant := range document.Tenants {
			lost := len(tenant.Keys) == 0
			for _, key := range tenant.Keys {
				lost = lost || table.Team(key) != &table.Config.Teams[i]
			}
			require.Equal(t, lost, found(SectionTenant, i, TenantWithoutKeys, KeyOfTwoTenants), "tenant %d", i)
		}
	})
}

// TestComparedWithItself guards against differences that come from the comparison and not from the configuration.
func TestComparedWithItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		require.Empty(t, Check(document, document, Bounds{}).Differences)
	})
}

func drawDocument(t *rapid.T) *Document {
	services := rapid.SampledFrom([]string{"", "a", "b", "c"})
	document := &Document{Version: 1, KeysUsed: true}
	for range rapid.IntRange(0, 5).Draw(t, "routes") {
		route := Route{
			Name:    rapid.SampledFrom([]string{"", "r", "s", "t"}).Draw(t, "name"),
			Host:    rapid.SampledFrom([]string{"a.example", "A.example", "b.example", "b.example:80"}).Draw(t, "host"),
			Prefix:  rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/x", "x/", ""}).Draw(t, "prefix"),
			Service: services.Draw(t, "service"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "shares") {
			share := Share{Service: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "share"), Weight: rapid.IntRange(-1, 3).Draw(t, "weight")}
			route.Shares = append(route.Shares, share)
		}
		document.Routes = append(document.Routes, route)
	}
	for range rapid.IntRange(0, 4).Draw(t, "services") {
		document.Services = append(document.Services, Service{Name: services.Draw(t, "name")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "tenants") {
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}), 0, 3).Draw(t, "keys")
		document.Tenants = append(document.Tenants, Tenant{Name: services.Draw(t, "tenant"), Keys: keys})
	}
	return document
}

// routing returns the configuration that traffic uses.
func (d *Document) routing() *core.RoutingConfig {
	config := &core.RoutingConfig{}
	for i := range d.Routes {
		route := core.Route{ID: core.RouteID(d.Routes[i].Name), Host: d.Routes[i].Host, Prefix: d.Routes[i].Prefix}
		for _, share := range d.Routes[i].shares() {
			route.Splits = append(route.Splits, core.Split{Pool: core.PoolID(share.Service), Weight: share.Weight})
		}
		config.Routes = append(config.Routes, route)
	}
	for _, tenant := range d.Tenants {
		config.Teams = append(config.Teams, core.TeamKeys{Team: core.TeamID(tenant.Name), Keys: tenant.Keys})
	}
	return config
}
