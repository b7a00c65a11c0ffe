package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// loadFactor bounds the number of targets of one host relative to the mean. A lower factor
// spreads targets more evenly but moves more of them when the set of hosts changes.
const loadFactor = 1.25

// assign returns the preferred owner of each target by rendezvous hashing with bounded
// loads: the host with the highest hash of the pair among those below the maximum. The
// result depends only on the two sets, so that all hosts with the same view agree. The map
// is empty if there are no hosts.
func assign(targets []core.TargetID, hosts []core.HostID) map[core.TargetID]core.HostID {
	preferred := make(map[core.TargetID]core.HostID, len(targets))
	if len(hosts) == 0 {
		return preferred
	}
	limit := maxTargetsPerHost(len(targets), len(hosts))
	load := make(map[core.HostID]int, len(hosts))
	for _, target := range sortedByHash(targets) {
		best := bestHost(target, hosts, load, limit)
		preferred[target] = best
		load[best]++
	}
	return preferred
}

// maxTargetsPerHost returns the most targets that one host is assigned.
func maxTargetsPerHost(targets, hosts int) int {
	return int(loadFactor*float64(targets)/float64(hosts)) + 2
}

func bestHost(target core.TargetID, hosts []core.HostID, load map[core.HostID]int, limit int) core.HostID {
	var best core.HostID
	var bestScore uint64
	for _, host := range hosts {
		score := xxhash.Sum64String(string(target) + "\x00" + string(host))
		better := best == "" || score > bestScore || (score == bestScore && host < best)
		if load[host] < limit && better {
			best, bestScore = host, score
		}
	}
	return best
}

// sortedByHash returns the targets ordered by hash, so that targets with similar names are
// not assigned one after the other.
func sortedByHash(targets []core.TargetID) []core.TargetID {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b core.TargetID) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		return cmp.Or(byHash, cmp.Compare(a, b))
	})
	return ordered
}
