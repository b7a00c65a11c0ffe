package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// capacityLifetime is the age at which the free streams of a capacity no longer count.
const capacityLifetime = 10 * time.Second

// Choose returns the owner to request a ticket from, or false if there is none. An owner in
// the local data centre is preferred. A remote one is chosen only if there is no local one, or
// if the local pick has no room and the remote pick has. On each side, the pick is the owner
// selected by the prompt's prefix if that owner has room. Otherwise it is the better of two
// owners selected by hashing the generation. An owner whose data centre is out of service is
// never chosen.
func Choose(candidates []Candidate, request core.TicketRequest) (core.HostID, bool) {
	local := eligible(candidates, request, true)
	remote := eligible(candidates, request, false)
	localPick := pick(local, request)
	remotePick := pick(remote, request)
	switch {
	case localPick == nil && remotePick == nil:
		return "", false
	case localPick == nil:
		return remotePick.Host, true
	case remotePick != nil && localPick.room() <= 0 && remotePick.room() > 0:
		return remotePick.Host, true
	}
	return localPick.Host, true
}

// eligible returns the local or the remote candidates that may take the request. A candidate
// whose share is below 1 takes only that fraction of the requests, unless no other candidate
// can take the rest.
func eligible(candidates []Candidate, request core.TicketRequest, local bool) []*Candidate {
	var all, inShare []*Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Local != local || !candidate.Accepts || candidate.Targets <= 0 {
			continue
		}
		all = append(all, candidate)
		if uniform(request.Generation[:], "share") < candidate.Share {
			inShare = append(inShare, candidate)
		}
	}
	if len(inShare) > 0 {
		return inShare
	}
	return all
}

// pick returns the preferred candidate for the request, or nil if there is none.
func pick(candidates []*Candidate, request core.TicketRequest) *Candidate {
	if request.PrefixHash != 0 {
		if holder := rendezvous(candidates, bigEndian(request.PrefixHash), nil); holder != nil && holder.room() > 0 {
			return holder
		}
	}
	first := rendezvous(candidates, request.Generation[:], nil)
	second := rendezvous(candidates, request.Generation[:], first)
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

// rendezvous returns the candidate that weighted rendezvous hashing selects for a key, or
// nil if there is none. Candidates are weighted by their number of targets; except is left
// out.
func rendezvous(candidates []*Candidate, key []byte, except *Candidate) *Candidate {
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
