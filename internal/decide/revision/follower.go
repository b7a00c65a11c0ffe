package revision

import (
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Follower is the state machine by which one host follows the accepted configuration. It
// is not safe for concurrent use.
type Follower struct {
	timing     Timing
	random     *rand.Rand
	inForce    *core.Config
	head       Head // newest head that the platform showed
	nextPoll   time.Time
	readUntil  time.Time // an unanswered ReadHead counts until then
	fetchUntil time.Time // an unanswered FetchBody counts until then
	askUntil   time.Time // an unanswered AskPeer counts until then
	peers      map[core.HostID]core.Revision
	asked      core.HostID // peer that was asked last
}

// New returns a follower without a configuration. The seed spreads the polls of hosts.
func New(timing Timing, seed uint64) *Follower {
	return &Follower{
		timing: timing,
		random: rand.New(rand.NewPCG(seed, 0)),
		peers:  map[core.HostID]core.Revision{},
	}
}

// InForce returns the configuration in force, or nil.
func (f *Follower) InForce() *core.Config { return f.inForce }

// Head returns the newest head that the platform showed; zero if none was read.
func (f *Follower) Head() Head { return f.head }

// Revision returns the revision in force; zero if there is none.
func (f *Follower) Revision() core.Revision {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Revision
}

// Tick starts a read of the head when one is due, and repeats what went unanswered.
func (f *Follower) Tick(now time.Time) []Effect {
	effects := []Effect{}
	if !now.Before(f.nextPoll) && !now.Before(f.readUntil) {
		f.readUntil = now.Add(f.timing.CallTimeout)
		f.nextPoll = now.Add(f.wait())
		effects = append(effects, ReadHead{})
	}
	effects = append(effects, f.fetch(now)...)
	return append(effects, f.ask(now)...)
}

func (f *Follower) wait() time.Duration {
	spread := 1 + f.timing.Jitter*(2*f.random.Float64()-1)
	return time.Duration(spread * float64(f.timing.Poll))
}

// HandleHead takes the answer to ReadHead.
func (f *Follower) HandleHead(read HeadRead, now time.Time) []Effect {
	f.readUntil = time.Time{}
	if read.OK && read.Head.Revision > f.head.Revision {
		f.head = read.Head
	}
	return f.fetch(now)
}

// HandleBody takes the answer to FetchBody. A body that does not belong to its head is dropped.
func (f *Follower) HandleBody(fetched BodyFetched, now time.Time) []Effect {
	f.fetchUntil = time.Time{}
	if fetched.Config == nil || fetched.Config.Revision != fetched.Head.Revision {
		f.fetchUntil = now.Add(f.timing.CallTimeout)
		return nil
	}
	return append(f.Offer(fetched.Config, now), f.fetch(now)...)
}

// HandlePeer takes the revision that a peer says it has in force.
func (f *Follower) HandlePeer(host core.HostID, revision core.Revision, now time.Time) []Effect {
	f.peers[host] = max(f.peers[host], revision)
	return f.ask(now)
}

// DropPeer forgets a peer that is gone.
func (f *Follower) DropPeer(host core.HostID) { delete(f.peers, host) }

// Offer takes an accepted configuration from a peer, or from an operator who proved that
// it is authentic. It is put in force if its revision is higher than the one in force.
func (f *Follower) Offer(config *core.Config, now time.Time) []Effect {
	f.askUntil = time.Time{}
	if config.Revision <= f.Revision() {
		return nil
	}
	f.inForce = config
	return append([]Effect{Publish{Config: config}}, f.ask(now)...)
}

// fetch asks the platform for the body of a head that is not in force.
func (f *Follower) fetch(now time.Time) []Effect {
	if f.head.Revision <= f.Revision() || now.Before(f.fetchUntil) {
		return nil
	}
	f.fetchUntil = now.Add(f.timing.CallTimeout)
	return []Effect{FetchBody{Head: f.head}}
}

// ask asks one peer that is ahead; if the last one did not answer, another.
func (f *Follower) ask(now time.Time) []Effect {
	if now.Before(f.askUntil) {
		return nil
	}
	best := f.aheadPeer()
	if best == "" {
		return nil
	}
	f.asked = best
	f.askUntil = now.Add(f.timing.CallTimeout)
	return []Effect{FetchFromPeer{Host: best, Above: f.Revision()}}
}

// aheadPeer returns the peer with the highest revision above the one in force, or an
// empty identifier. The peer that was asked last comes last.
func (f *Follower) aheadPeer() core.HostID {
	best := core.HostID("")
	for host, revision := range f.peers {
		if revision > f.Revision() && (best == "" || f.better(host, best)) {
			best = host
		}
	}
	return best
}

func (f *Follower) better(a, b core.HostID) bool {
	if (a == f.asked) != (b == f.asked) {
		return b == f.asked
	}
	if f.peers[a] != f.peers[b] {
		return f.peers[a] > f.peers[b]
	}
	return a < b
}
