package hub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// maxCandidates bounds the hosts that a host stays linked with to learn from.
const maxCandidates = 3

// Candidates lists the hosts that may be the hub of a host, best first: the first of all
// hosts, the first of the own data centre, in case that is cut off, and the first of
// another one. Hosts that rank behind the host itself come as a reserve, for when it
// cannot read the store by itself.
func Candidates(self core.Host, hosts []core.Host) (before, reserve []core.Host) {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))))
	})
	var chosen []core.Host
	add := func(fits func(core.Host) bool) {
		for _, host := range ranked {
			if fits(host) && !slices.Contains(chosen, host) {
				chosen = append(chosen, host)
				return
			}
		}
	}
	add(func(core.Host) bool { return true })
	add(func(h core.Host) bool { return h.DataCentre == self.DataCentre })
	add(func(h core.Host) bool { return h.DataCentre != self.DataCentre })
	at := slices.IndexFunc(chosen, func(h core.Host) bool { return h.ID == self.ID })
	if at < 0 {
		return chosen, nil
	}
	for len(chosen) <= maxCandidates && len(chosen) < len(ranked) {
		add(func(core.Host) bool { return true })
	}
	return chosen[:at], chosen[at+1:]
}
