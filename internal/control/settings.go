package control

import "time"

// Settings holds the periods and the queue size of the control loop.
type Settings struct {
	Tick             time.Duration // resolution of all timeouts of the loop
	Heartbeat        time.Duration // period of heartbeats to linked peers
	CapacityInterval time.Duration // minimum interval between capacity messages about one pool
	CapacityRefresh  time.Duration // interval at which an unchanged capacity is sent again
	CapacityExpiry   time.Duration // age after which a peer's capacity is ignored
	Progress         time.Duration // period of progress batches to owners
	HeldTickets      time.Duration // period of lists of held tickets to owners
	Poll             time.Duration // period of load polls of an owned target
	EventQueue       int           // capacity of the event queue
}

// DefaultSettings returns the periods used in production.
func DefaultSettings() Settings {
	return Settings{
		Tick:             50 * time.Millisecond,
		Heartbeat:        time.Second,
		CapacityInterval: 250 * time.Millisecond,
		CapacityRefresh:  5 * time.Second,
		CapacityExpiry:   15 * time.Second,
		Progress:         time.Second,
		HeldTickets:      5 * time.Second,
		Poll:             time.Second,
		EventQueue:       4096,
	}
}
