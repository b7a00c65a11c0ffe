package control

import "time"

// Settings holds the periods of the control loop.
type Settings struct {
	Tick           time.Duration // resolution of all timeouts of the loop
	Heartbeat      time.Duration // period of heartbeats to linked peers
	Summary        time.Duration // shortest period of summaries to linked peers
	SummaryRefresh time.Duration // longest period of summaries that did not change
	SummaryExpiry  time.Duration // age at which a summary is no longer used
	Progress       time.Duration // period of progress batches to owners
	TicketCheck    time.Duration // period of lists of held tickets to owners
	Poll           time.Duration // period of load polls of an owned target
	EventQueue     int           // events that may wait before posters wait
}

// DefaultSettings returns the periods used in production.
func DefaultSettings() Settings {
	return Settings{
		Tick:           50 * time.Millisecond,
		Heartbeat:      time.Second,
		Summary:        250 * time.Millisecond,
		SummaryRefresh: 5 * time.Second,
		SummaryExpiry:  15 * time.Second,
		Progress:       time.Second,
		TicketCheck:    5 * time.Second,
		Poll:           time.Second,
		EventQueue:     4096,
	}
}
