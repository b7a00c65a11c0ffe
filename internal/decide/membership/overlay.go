package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// overlay returns the hosts that a host opens links to, out of all hosts, itself
// included. The links of all hosts together connect them: each data centre by its ring,
// and each two data centres by the links of their first hosts at least.
func overlay(self core.Host, hosts []core.Host, settings Settings) map[core.HostID]bool {
	chosen := map[core.HostID]bool{}
	rings := ringsOf(hosts)
	addNeighbours(chosen, self.ID, rings[self.DataCentre], settings.RingNeighbours)
	for centre, ring := range rings {
		if centre != self.DataCentre {
			addRemote(chosen, self.ID, rings[self.DataCentre], ring, settings)
		}
	}
	return chosen
}

// ringsOf orders the hosts of each data centre by hash.
func ringsOf(hosts []core.Host) map[core.DataCentreID][]core.HostID {
	rings := map[core.DataCentreID][]core.HostID{}
	for _, host := range hosts {
		rings[host.DataCentre] = append(rings[host.DataCentre], host.ID)
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(a, b core.HostID) int {
			byHash := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
			return cmp.Or(byHash, cmp.Compare(a, b))
		})
	}
	return rings
}

// addNeighbours adds the nearest hosts on both sides of the ring.
func addNeighbours(chosen map[core.HostID]bool, self core.HostID, ring []core.HostID, count int) {
	at := slices.Index(ring, self)
	for step := 1; step <= count; step++ {
		for _, neighbour := range []int{at + step, at - step} {
			id := ring[((neighbour%len(ring))+len(ring))%len(ring)]
			if id != self {
				chosen[id] = true
			}
		}
	}
}

// addRemote adds the hosts of another data centre with the highest hashes of the pair.
// Only the first hosts of a data centre that is much larger take part, so that those of
// the small one do not get a link from each.
func addRemote(chosen map[core.HostID]bool, self core.HostID, own, other []core.HostID, settings Settings) {
	if slices.Index(own, self) >= settings.RemoteFanIn*len(other) {
		return
	}
	ranked := slices.Clone(other)
	score := func(id core.HostID) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(id)) }
	slices.SortFunc(ranked, func(a, b core.HostID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	for _, id := range ranked[:min(settings.RemoteLinks, len(ranked))] {
		chosen[id] = true
	}
}
