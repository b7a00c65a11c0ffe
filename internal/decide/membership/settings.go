package membership

import "time"

// Settings holds the bounds of the view.
type Settings struct {
	HeardWithin time.Duration // a linked host that was silent for longer is not reachable
}

// DefaultSettings returns the bounds for production: four heartbeats may be lost.
func DefaultSettings() Settings { return Settings{HeardWithin: 4 * time.Second} }
