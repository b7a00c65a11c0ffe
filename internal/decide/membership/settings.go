package membership

import "time"

// Settings holds the time limits and link counts of a View.
type Settings struct {
	LivenessTimeout   time.Duration // a linked host that was silent for longer is neither live nor reachable
	NewHostGrace      time.Duration // a host that has just become known counts as live for this time, until it is linked
	ForgetAfter       time.Duration // an unlisted host that has been known for longer, but was not in contact within this time, is removed
	RequestedLinkTTL  time.Duration // a requested link is kept for this time
	MaxMeshHosts      int           // up to this number of hosts, including this one, form a full mesh
	RingNeighbours    int           // links in each direction on the ring of the data centre
	RemoteLinks       int           // links that a host opens to each other data centre
	RemoteFanIn       int           // hosts of a large data centre that open links to a small one, per host of the small one
	MaxRequestedLinks int
}

// DefaultSettings returns the settings for production. Heartbeats are sent once a second,
// so that four may be lost.
func DefaultSettings() Settings {
	return Settings{
		LivenessTimeout:   4 * time.Second,
		NewHostGrace:      5 * time.Second,
		ForgetAfter:       time.Minute,
		RequestedLinkTTL:  time.Minute,
		MaxMeshHosts:      16,
		RingNeighbours:    3,
		RemoteLinks:       2,
		RemoteFanIn:       4,
		MaxRequestedLinks: 8,
	}
}
