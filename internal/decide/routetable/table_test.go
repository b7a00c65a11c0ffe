package routetable

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func TestRoute(t *testing.T) {
	table := New(&core.RoutingConfig{Routes: []core.Route{
		{ID: "root", Host: "a.example", Prefix: "/"},
		{ID: "short", Host: "a.example", Prefix: "/x/"},
		{ID: "long", Host: "A.example", Prefix: "/x/y/"},
		{ID: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct {
		host, path string
		want       core.RouteID
	}{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", "root"},
		{"a.example:8740", "/x/1/2", "short"},
		{"B.EXAMPLE", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := core.RouteID("")
			if route := table.Route(c.host, c.path); route != nil {
				got = route.ID
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	table := New(&core.RoutingConfig{})
	route := &core.Route{Splits: []core.Split{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	counts := map[core.PoolID]int{}
	for i := range 10_000 {
		counts[table.SelectPool(route, fmt.Sprintf("request-%d", i))]++
	}
	require.InDelta(t, 9000, counts["a"], 200)
	require.InDelta(t, 1000, counts["b"], 200)
	require.Zero(t, counts["c"])
	require.Empty(t, table.SelectPool(&core.Route{}, "request"))
}

func TestTeamByKey(t *testing.T) {
	table := New(&core.RoutingConfig{Teams: []core.TeamKeys{{Team: "oslo", Keys: []string{"k1", "k2"}}}})
	require.True(t, table.NeedsKeys())
	require.Equal(t, core.TeamID("oslo"), table.Team("k2").Team)
	require.Nil(t, table.Team("k3"))
	require.False(t, New(&core.RoutingConfig{}).NeedsKeys())
}
