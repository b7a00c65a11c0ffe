package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// maxSuspects bounds the parts under which engines have crashed.
	maxSuspects = 64
	// maxSounds bounds the parts of each of the two generations of sound parts that are kept.
	maxSounds = 2048
	// retention is how long a suspect is kept after the longest hold that its crashes allow.
	retention = 10 * time.Minute
	// clearedRetention is how long a cleared suspect is kept, so that other hosts hear of it.
	clearedRetention = 10 * time.Second
)

// Tracker keeps the evidence on parts of prompts. Its memory is bounded by maxSuspects and
// maxSounds.
type Tracker struct {
	// spread is the fraction by which this host's holds are longer. Hosts with different spreads
	// end a hold one after the other, so that the first request that crashes an engine again renews
	// the hold of the others.
	spread   float64
	suspects map[core.PromptPart]*suspect
	changed  map[core.PromptPart]bool // suspects with news for other hosts
	// recent and former are the last sound generations by part. Once recent is full it replaces
	// former.
	recent, former map[core.PromptPart]sound
}

// NewTracker returns a tracker without evidence. The spread is between 0 and 1, and evenly
// distributed over the hosts.
func NewTracker(spread float64) *Tracker {
	return &Tracker{spread: spread, suspects: map[core.PromptPart]*suspect{}, changed: map[core.PromptPart]bool{}, recent: map[core.PromptPart]sound{}, former: map[core.PromptPart]sound{}}
}

// RecordCrash records that an engine crashed as it began to respond to a request with the parts.
// Its age is not used.
func (t *Tracker) RecordCrash(parts []core.PromptPart, c core.EngineCrash, now time.Duration) {
	for _, part := range parts {
		t.addCrash(part, crash{id: c.ID, engine: c.Engine, at: now, ambiguous: c.Ambiguous})
	}
}

// RecordSound records that a generation on the parts has begun.
func (t *Tracker) RecordSound(parts []core.PromptPart, id uint64, now time.Duration) {
	for _, part := range parts {
		t.setSound(part, sound{id: id, at: now})
	}
}

// Merge adds what another host knows.
func (t *Tracker) Merge(all []core.PartEvidence, now time.Duration) {
	for _, evidence := range all {
		t.mergeSound(evidence, now)
		last, known := t.sound(evidence.Part)
		for _, c := range evidence.Crashes {
			if at := now - c.Age; !known || at > last.at {
				t.addCrash(evidence.Part, crash{id: c.ID, engine: c.Engine, at: at, ambiguous: c.Ambiguous})
			}
		}
	}
}

// addCrash adds a crash to a suspect.
func (t *Tracker) addCrash(part core.PromptPart, c crash) {
	if t.suspect(part).add(c) {
		t.changed[part] = true
	}
}

// mergeSound takes over a sound generation that is later than the last one known. One that is known
// already seems later by the time that the message took, and is ignored.
func (t *Tracker) mergeSound(evidence core.PartEvidence, now time.Duration) {
	heard := sound{id: evidence.SoundID, at: now - evidence.SoundAge}
	last, known := t.sound(evidence.Part)
	if !evidence.Sound || known && (heard.id == last.id || heard.at <= last.at) {
		return
	}
	t.setSound(evidence.Part, heard)
	if t.suspects[evidence.Part] != nil {
		t.changed[evidence.Part] = true
	}
}

// Evidence returns all that other hosts have to know.
func (t *Tracker) Evidence(now time.Duration) []core.PartEvidence {
	var all []core.PartEvidence
	for part, s := range t.suspects {
		all = append(all, t.evidence(part, s, now))
	}
	return all
}

// TakeChanges returns the evidence that has changed since the last call.
func (t *Tracker) TakeChanges(now time.Duration) []core.PartEvidence {
	var changes []core.PartEvidence
	for part := range t.changed {
		if s := t.suspects[part]; s != nil {
			changes = append(changes, t.evidence(part, s, now))
		}
	}
	clear(t.changed)
	return changes
}

func (t *Tracker) evidence(part core.PromptPart, s *suspect, now time.Duration) core.PartEvidence {
	evidence := core.PartEvidence{Part: part}
	for _, c := range s.crashes {
		evidence.Crashes = append(evidence.Crashes, core.EngineCrash{ID: c.id, Engine: c.engine, Age: now - c.at, Ambiguous: c.ambiguous})
	}
	if last, known := t.sound(part); known {
		evidence.Sound, evidence.SoundID, evidence.SoundAge = true, last.id, now-last.at
	}
	return evidence
}

// Holds returns the holds in force. A crash is evidence against one set of parts only: the one that
// occurred in most crashes explains its crashes first.
func (t *Tracker) Holds(now time.Duration) []Hold {
	candidates := t.candidates()
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.limit(), b.limit()), cmp.Compare(a.parts[0], b.parts[0]))
	})
	var holds []Hold
	var explained []crash
	for _, c := range candidates {
		rest := c.without(explained)
		if !rest.reachesLimit() {
			continue
		}
		explained = append(explained, rest.crashes...)
		if hold := rest.hold(t.spread); hold.Until > now {
			holds = append(holds, hold)
		}
	}
	return holds
}

// candidates returns the sets of parts that occurred in the same crashes. In a set of which some
// parts have been sound before, the others are the more likely cause.
func (t *Tracker) candidates() []*candidate {
	var all []*candidate
	for _, part := range slices.Sorted(maps.Keys(t.suspects)) {
		s := t.suspects[part]
		if len(s.crashes) == 0 {
			continue
		}
		_, known := t.sound(part)
		i := slices.IndexFunc(all, func(c *candidate) bool { return sameCrashes(c.crashes, s.crashes) })
		switch {
		case i < 0:
			all = append(all, &candidate{parts: []core.PromptPart{part}, crashes: s.crashes, known: known})
		case known == all[i].known:
			all[i].parts = append(all[i].parts, part)
		case !known:
			all[i].parts, all[i].known = []core.PromptPart{part}, false
		}
	}
	return all
}

// sameCrashes reports whether two lists hold the same crashes. Hosts may order crashes differently.
func sameCrashes(a, b []crash) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c crash) bool { return !contains(b, c.id) })
}

// Expire forgets suspects whose time is over.
func (t *Tracker) Expire(now time.Duration) {
	maps.DeleteFunc(t.suspects, func(part core.PromptPart, s *suspect) bool {
		if len(s.crashes) == 0 {
			last, _ := t.sound(part)
			return now > last.at+clearedRetention
		}
		longest := candidate{crashes: s.crashes}
		return now > longest.hold(1).Until+retention
	})
}

// suspect returns the suspect of a part, and adds it if there is none. If there are too many, one
// with the fewest crashes is forgotten, the one with the oldest crash first.
func (t *Tracker) suspect(part core.PromptPart) *suspect {
	if s := t.suspects[part]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b core.PromptPart) int {
			x, y := t.suspects[a], t.suspects[b]
			return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), cmp.Compare(x.lastCrash(), y.lastCrash()), cmp.Compare(a, b))
		}))
	}
	s := &suspect{}
	t.suspects[part] = s
	return s
}

// sound returns the last sound generation on a part.
func (t *Tracker) sound(part core.PromptPart) (sound, bool) {
	if last, ok := t.recent[part]; ok {
		return last, true
	}
	last, ok := t.former[part]
	return last, ok
}

// setSound sets the last sound generation on a part, which clears it.
func (t *Tracker) setSound(part core.PromptPart, last sound) {
	if _, ok := t.recent[part]; !ok && len(t.recent) >= maxSounds {
		t.recent, t.former = map[core.PromptPart]sound{}, t.recent
	}
	t.recent[part] = last
	if s := t.suspects[part]; s != nil && s.dropUntil(last.at) {
		t.changed[part] = true
	}
}
