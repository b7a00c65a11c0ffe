package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes bounds the crashes that are kept for a part.
const maxCrashes = 12

// suspect is a part under which an engine has crashed.
type suspect struct {
	crashes []crash // since the last sound generation, oldest first
}

// add adds a crash. It reports whether the crash was not known.
func (s *suspect) add(c crash) bool {
	if contains(s.crashes, c.id) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[1:]
	}
	return true
}

// dropUntil removes the crashes up to a time. It reports whether there were any.
func (s *suspect) dropUntil(at time.Duration) bool {
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at <= at })
	return len(s.crashes) < before
}

// lastCrash returns the time of the last crash, or zero if there is none.
func (s *suspect) lastCrash() time.Duration {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].at
}
