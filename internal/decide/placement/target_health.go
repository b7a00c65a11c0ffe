package placement

import "time"

const (
	// ownWeight is the weight of one outcome in a host's own failure rate. Ten outcomes are
	// enough to detect a target that fails nearly half of its requests.
	ownWeight = 0.12
	// sharedWeight is the weight of one outcome in the failure rate over all hosts, which
	// counts more outcomes.
	sharedWeight = 0.04
	// maxPeerOutcomes bounds the outcomes of each kind that one report of a host adds;
	// further ones would hardly change the rate.
	maxPeerOutcomes = 100
	// minBackoff is how long a target is avoided after it was first found unreachable.
	minBackoff = 500 * time.Millisecond
	// maxBackoff bounds how long a target is avoided before it is tried again.
	maxBackoff = 4 * time.Second
	// maxRest bounds the time for which a target can ask to be sent nothing.
	maxRest = 10 * time.Minute
	// fullBackoff is how long a target that refused for lack of room is avoided.
	fullBackoff = 150 * time.Millisecond
)

// targetHealth holds the failure rates of a target, and for how long it is avoided.
type targetHealth struct {
	ownRate     rate          // over this host's attempts
	sharedRate  rate          // over the attempts of this host and all that report to it
	unsent      OutcomeCounts // own outcomes not yet sent to the hub
	backoff     time.Duration // doubles with each attempt that finds the target unreachable
	avoidUntil  time.Duration
	restsUntil  time.Duration // it has asked this host to send nothing until then
	misdirected bool          // another target has its address
	removed     bool          // its entry has been removed, and nothing has been recorded since
}

func (h *targetHealth) record(outcome Outcome, now time.Duration) {
	h.removed = false
	switch outcome {
	case Answered:
		h.count(false, now)
		h.backoff = 0
	case Failed:
		h.count(true, now)
	case Unreachable:
		h.count(true, now)
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
		h.avoidUntil = now + h.backoff
	case Full:
		h.avoidUntil = max(h.avoidUntil, now+fullBackoff)
	case Misdirected:
		h.misdirected = true
	case Inconclusive:
	}
}

func (h *targetHealth) count(failed bool, now time.Duration) {
	h.ownRate.add(failed, ownWeight, now)
	h.sharedRate.add(failed, sharedWeight, now)
	if failed {
		h.unsent.Failed++
	} else {
		h.unsent.Answered++
	}
}

// addPeerOutcomes adds outcomes of another host's attempts to the shared rate.
func (h *targetHealth) addPeerOutcomes(counts OutcomeCounts, now time.Duration) {
	for range min(counts.Answered, maxPeerOutcomes) {
		h.sharedRate.add(false, sharedWeight, now)
	}
	for range min(counts.Failed, maxPeerOutcomes) {
		h.sharedRate.add(true, sharedWeight, now)
	}
}
