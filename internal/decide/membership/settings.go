package membership

import "time"

// Settings holds the bounds of the view.
type Settings struct {
	LivenessTimeout   time.Duration // a linked host that was silent for longer is neither live nor reachable
	NewHostGrace      time.Duration // a host that has just become known counts as live until it can be linked
	ForgetAfter       time.Duration // a host that is neither listed nor heard is dropped after this time
	RequestedLinkTTL  time.Duration // a link that was asked for is kept for this time
	MaxMeshHosts      int           // up to this number of hosts, this one included, all are linked
	RingNeighbours    int           // links to each side on the ring of the data centre
	RemoteLinks       int           // links opened to each other data centre
	RemoteFanIn       int           // hosts of a large data centre that link to a small one, for each host of the small one
	MaxRequestedLinks int           // links that were asked for, at most
}

// DefaultSettings returns the bounds for production. Heartbeats are sent once a second:
// four may be lost.
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
