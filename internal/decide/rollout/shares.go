package rollout

import (
	"maps"
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// maxShare is the largest fraction of a route's requests that is sent to the new version. The rest shows how the old
// version does at the same time.
const maxShare = 0.5

// spread returns by route the fraction of its requests to send to the new version, so that all together are a
// given fraction of all requests and each route has the same number of them as far as it has the traffic. Routes with
// little traffic would otherwise not be judged.
func spread(requests map[core.RouteID]uint64, fraction float64) map[core.RouteID]float64 {
	all := uint64(0)
	for _, n := range requests {
		all += n
	}
	left := fraction * float64(all)
	routes := slices.SortedFunc(maps.Keys(requests), func(a, b core.RouteID) int {
		if requests[a] != requests[b] {
			if requests[a] < requests[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	shares := map[core.RouteID]float64{}
	for i, route := range routes {
		if requests[route] == 0 {
			continue
		}
		amount := min(left/float64(len(routes)-i), maxShare*float64(requests[route]))
		left -= amount
		shares[route] = amount / float64(requests[route])
	}
	return shares
}
