package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// overlay returns the hosts that a host opens links to, chosen from all hosts including
// itself. The links of all hosts together form a connected graph: the ring connects each
// data centre, and the remote links of at least the first hosts on the rings connect each
// pair of data centres.
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

// ringsOf returns the ring of each data centre: its hosts, ordered by hash.
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

// addNeighbours adds the nearest hosts of the ring, count in each direction.
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

// addRemote adds hosts of another data centre by rendezvous hashing. If the own data
// centre is more than RemoteFanIn times as large as the other one, only its first hosts
// open links, so that the hosts of the smaller one do not get a link from every host.
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
