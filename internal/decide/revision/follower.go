package revision

import (
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Follower is the state machine with which one host follows the accepted configuration. It
// is not safe for concurrent use.
type Follower struct {
	timing        Timing
	random        *rand.Rand
	inForce       *core.Config
	head          Head // newest head that was read from the platform
	nextPoll      time.Time
	readTimeoutAt time.Time // time until which an unanswered ReadHead counts as in flight
	bodyTimeoutAt time.Time // same for FetchBody; after a failure, time of the next attempt
	peerTimeoutAt time.Time // same for FetchFromPeer
	peers         map[core.HostID]core.Revision
	lastPeer      core.HostID // peer of the last FetchFromPeer
}

// New returns a follower without a configuration. Hosts use different seeds, which spreads
// their polls.
func New(timing Timing, seed uint64) *Follower {
	return &Follower{
		timing: timing,
		random: rand.New(rand.NewPCG(seed, 0)),
		peers:  map[core.HostID]core.Revision{},
	}
}

// InForce returns the configuration in force, or nil.
func (f *Follower) InForce() *core.Config { return f.inForce }

// Head returns the newest head that was read from the platform; zero if there is none.
func (f *Follower) Head() Head { return f.head }

// Revision returns the revision in force; zero if there is none.
func (f *Follower) Revision() core.Revision {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Revision
}

// Tick starts a read of the head when one is due and repeats unanswered calls.
func (f *Follower) Tick(now time.Time) []Effect {
	effects := []Effect{}
	if !now.Before(f.nextPoll) && !now.Before(f.readTimeoutAt) {
		f.readTimeoutAt = now.Add(f.timing.CallTimeout)
		f.nextPoll = now.Add(f.pollInterval())
		effects = append(effects, ReadHead{})
	}
	effects = append(effects, f.fetchBody(now)...)
	return append(effects, f.fetchFromPeer(now)...)
}

func (f *Follower) pollInterval() time.Duration {
	spread := 1 + f.timing.Jitter*(2*f.random.Float64()-1)
	return time.Duration(spread * float64(f.timing.Poll))
}

// HandleHead handles the response to ReadHead.
func (f *Follower) HandleHead(read HeadRead, now time.Time) []Effect {
	f.readTimeoutAt = time.Time{}
	if read.OK && read.Head.Revision > f.head.Revision {
		f.head = read.Head
	}
	return f.fetchBody(now)
}

// HandleBody handles the response to FetchBody. A body whose revision differs from its
// head is dropped.
func (f *Follower) HandleBody(fetched BodyFetched, now time.Time) []Effect {
	f.bodyTimeoutAt = time.Time{}
	if fetched.Config == nil || fetched.Config.Revision != fetched.Head.Revision {
		f.bodyTimeoutAt = now.Add(f.timing.CallTimeout)
		return nil
	}
	return append(f.Offer(fetched.Config, now), f.fetchBody(now)...)
}

// HandlePeer handles the revision that a peer reports to have in force.
func (f *Follower) HandlePeer(host core.HostID, revision core.Revision, now time.Time) []Effect {
	f.peers[host] = max(f.peers[host], revision)
	return f.fetchFromPeer(now)
}

// DropPeer removes a peer that is gone.
func (f *Follower) DropPeer(host core.HostID) { delete(f.peers, host) }

// Offer handles an accepted configuration from the platform, from a peer, or from an
// operator who has proved that it is authentic. It is put in force if its revision is higher
// than the one in force.
func (f *Follower) Offer(config *core.Config, now time.Time) []Effect {
	f.peerTimeoutAt = time.Time{}
	if config.Revision <= f.Revision() {
		return nil
	}
	f.inForce = config
	return append([]Effect{Publish{Config: config}}, f.fetchFromPeer(now)...)
}

// fetchBody reads the body of a head that is newer than the configuration in force.
func (f *Follower) fetchBody(now time.Time) []Effect {
	if f.head.Revision <= f.Revision() || now.Before(f.bodyTimeoutAt) {
		return nil
	}
	f.bodyTimeoutAt = now.Add(f.timing.CallTimeout)
	return []Effect{FetchBody{Head: f.head}}
}

// fetchFromPeer requests the configuration of a peer with a higher revision. If the last
// peer did not answer, it chooses another one.
func (f *Follower) fetchFromPeer(now time.Time) []Effect {
	if now.Before(f.peerTimeoutAt) {
		return nil
	}
	best := f.newestPeer()
	if best == "" {
		return nil
	}
	f.lastPeer = best
	f.peerTimeoutAt = now.Add(f.timing.CallTimeout)
	return []Effect{FetchFromPeer{Host: best, Above: f.Revision()}}
}

// newestPeer returns the peer with the highest revision above the one in force, or an empty
// identifier. The peer of the last request is chosen only if there is no other.
func (f *Follower) newestPeer() core.HostID {
	best := core.HostID("")
	for host, revision := range f.peers {
		if revision > f.Revision() && (best == "" || f.preferred(host, best)) {
			best = host
		}
	}
	return best
}

func (f *Follower) preferred(a, b core.HostID) bool {
	if (a == f.lastPeer) != (b == f.lastPeer) {
		return b == f.lastPeer
	}
	if f.peers[a] != f.peers[b] {
		return f.peers[a] > f.peers[b]
	}
	return a < b
}
