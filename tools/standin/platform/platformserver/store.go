package platformserver

import (
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/tools/standin/fault"
)

// store is the state of the stand-in. It belongs to one goroutine.
type store struct {
	options       Options
	faults        *fault.Set
	counts        Counts
	rows          map[string]row
	version       uint64 // of the latest commit; versions never decrease, even after a row is deleted
	objects       map[string][]byte
	announcements map[string][]announcement // by host, oldest first
}

func newStore(options Options) *store {
	return &store{
		options:       options,
		faults:        fault.NewSet(),
		rows:          map[string]row{},
		objects:       map[string][]byte{},
		announcements: map[string][]announcement{},
	}
}

// listRows returns the rows whose keys have the prefix, sorted by key.
func (s *store) listRows(prefix string) []row {
	s.counts.TableReads++
	found := []row{}
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// row returns one row, with version zero if it does not exist.
func (s *store) row(key string) row {
	s.counts.TableReads++
	if r, ok := s.rows[key]; ok {
		return r
	}
	return row{Key: key}
}

// commit applies a transaction. It returns the keys that conflicted, or the new versions of
// the written rows.
func (s *store) commit(tx transaction) (conflicts []string, versions []uint64) {
	s.counts.TableWrites++
	for _, c := range tx.Conditions {
		if s.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if len(conflicts) > 0 {
		return conflicts, nil
	}
	s.version++
	for _, w := range tx.Writes {
		versions = append(versions, s.set(w))
	}
	return nil, versions
}

// set applies one write and returns the row's new version, which is zero after a deletion.
func (s *store) set(w write) uint64 {
	if w.Value == nil {
		delete(s.rows, w.Key)
		return 0
	}
	s.rows[w.Key] = row{Key: w.Key, Version: s.version, Value: w.Value}
	return s.version
}

// putHost adds an announcement and removes those that the delayed list no longer needs.
func (s *store) putHost(h host, now time.Time) {
	s.counts.HostWrites++
	kept := s.announcements[h.ID]
	horizon := now.Add(-s.options.HostLag - s.options.HostTTL)
	for len(kept) > 0 && kept[0].at.Before(horizon) {
		kept = kept[1:]
	}
	s.announcements[h.ID] = append(kept, announcement{host: h, at: now})
}

// hosts returns the list as it was Options.HostLag ago, sorted by identifier.
func (s *store) hosts(now time.Time) []host {
	s.counts.HostReads++
	asOf := now.Add(-s.options.HostLag)
	live := []host{}
	for _, history := range s.announcements {
		if h, ok := s.hostAt(history, asOf); ok {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b host) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// hostAt returns the last announcement of a host at the given time. It reports false if
// there was none, or if it was older than Options.HostTTL.
func (s *store) hostAt(history []announcement, asOf time.Time) (host, bool) {
	for _, a := range slices.Backward(history) {
		if !a.at.After(asOf) {
			return a.host, asOf.Sub(a.at) <= s.options.HostTTL
		}
	}
	return host{}, false
}
