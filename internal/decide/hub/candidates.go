package hub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// maxCandidates bounds the hosts that a host stays linked to as possible hubs.
const maxCandidates = 3

// Candidates returns the hosts that may be the hub of self, best first. It chooses the
// first of all hosts, the first of the own data centre, in case that is partitioned, and
// the first of another one. Hosts are ranked by capacity. Those ranked after self are
// returned as reserve, for use when self cannot read the store.
func Candidates(self core.Host, hosts []core.Host) (before, reserve []core.Host) {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))))
	})
	var chosen []core.Host
	addFirst := func(matches func(core.Host) bool) {
		for _, host := range ranked {
			if matches(host) && !slices.Contains(chosen, host) {
				chosen = append(chosen, host)
				return
			}
		}
	}
	addFirst(func(core.Host) bool { return true })
	addFirst(func(h core.Host) bool { return h.DataCentre == self.DataCentre })
	addFirst(func(h core.Host) bool { return h.DataCentre != self.DataCentre })
	at := slices.IndexFunc(chosen, func(h core.Host) bool { return h.ID == self.ID })
	if at < 0 {
		return chosen, nil
	}
	for len(chosen) <= maxCandidates && len(chosen) < len(ranked) {
		addFirst(func(core.Host) bool { return true })
	}
	return chosen[:at], chosen[at+1:]
}
