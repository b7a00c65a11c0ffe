package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// loadSlack is how far above the mean the number of targets of one host may lie. It
// trades an even spread against movement.
const loadSlack = 1.25

// assign returns the preferred owner of each target: the host with the highest hash of
// the pair that has room. A host has room for its share of the targets and a slack.
// Hosts that agree on both lists come to the same result. The map is empty without hosts.
func assign(targets []core.TargetID, hosts []core.HostID) map[core.TargetID]core.HostID {
	preferred := make(map[core.TargetID]core.HostID, len(targets))
	if len(hosts) == 0 {
		return preferred
	}
	room := roomFor(len(targets), len(hosts))
	load := make(map[core.HostID]int, len(hosts))
	for _, target := range hashOrder(targets) {
		best := bestHost(target, hosts, load, room)
		preferred[target] = best
		load[best]++
	}
	return preferred
}

// roomFor returns the most targets that one host is given.
func roomFor(targets, hosts int) int {
	return int(loadSlack*float64(targets)/float64(hosts)) + 2
}

func bestHost(target core.TargetID, hosts []core.HostID, load map[core.HostID]int, room int) core.HostID {
	var best core.HostID
	var bestScore uint64
	for _, host := range hosts {
		score := xxhash.Sum64String(string(target) + "\x00" + string(host))
		better := best == "" || score > bestScore || (score == bestScore && host < best)
		if load[host] < room && better {
			best, bestScore = host, score
		}
	}
	return best
}

// hashOrder orders the targets by hash, so that similar names are served in mixed order.
func hashOrder(targets []core.TargetID) []core.TargetID {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b core.TargetID) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		return cmp.Or(byHash, cmp.Compare(a, b))
	})
	return ordered
}
