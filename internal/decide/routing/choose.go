package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// summaryLifetime is the age at which a summary says nothing any more.
const summaryLifetime = 10 * time.Second

// Choose returns the owner to ask for a ticket, or false if there is none. Owners in the
// own data centre go first; others are asked when no picked local one has room. Among
// owners it takes the better of two picks that depend only on the generation, or the
// owner that the prompt's prefix selects if that one has room. An owner whose data centre
// is out is never chosen.
func Choose(candidates []Candidate, demand core.TicketRequest) (core.HostID, bool) {
	local := admitted(candidates, demand, true)
	remote := admitted(candidates, demand, false)
	near := pick(local, demand)
	far := pick(remote, demand)
	switch {
	case near == nil && far == nil:
		return "", false
	case near == nil:
		return far.Host, true
	case far != nil && near.room() <= 0 && far.room() > 0:
		return far.Host, true
	}
	return near.Host, true
}

// admitted returns the candidates on one side that may take the request. Shares below
// one leave some requests out, but not if nobody else can take them.
func admitted(candidates []Candidate, demand core.TicketRequest, local bool) []*Candidate {
	var all, within []*Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Local != local || !candidate.Accepts || candidate.Targets <= 0 {
			continue
		}
		all = append(all, candidate)
		if uniform(demand.Generation[:], "share") < candidate.Share {
			within = append(within, candidate)
		}
	}
	if len(within) > 0 {
		return within
	}
	return all
}

// pick returns the better of two candidates, or nil if there is none.
func pick(candidates []*Candidate, demand core.TicketRequest) *Candidate {
	if demand.PrefixHash != 0 {
		if holder := highest(candidates, bigEndian(demand.PrefixHash), nil); holder != nil && holder.room() > 0 {
			return holder
		}
	}
	first := highest(candidates, demand.Generation[:], nil)
	second := highest(candidates, demand.Generation[:], first)
	if second != nil && second.better(first) {
		return second
	}
	return first
}

func bigEndian(value uint64) []byte {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(value >> (56 - 8*i))
	}
	return bytes[:]
}

// highest returns the candidate that weighted rendezvous hashing selects for a key, in
// proportion to the number of targets, leaving one out.
func highest(candidates []*Candidate, key []byte, except *Candidate) *Candidate {
	var best *Candidate
	bestScore := 0.0
	for _, candidate := range candidates {
		if candidate == except {
			continue
		}
		score := -float64(candidate.Targets) / math.Log(uniform(key, string(candidate.Host)))
		if best == nil || score > bestScore || (score == bestScore && candidate.Host < best.Host) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// uniform maps a key and a label to a number between 0 and 1, both excluded.
func uniform(key []byte, label string) float64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.WriteString(label)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}
