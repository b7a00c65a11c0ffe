package fault

import (
	"slices"
	"time"
)

// Spec describes a fault to inject.
type Spec struct {
	Kind       Kind  `json:"kind"`
	DurationMS int64 `json:"for_ms,omitempty"`   // duration; zero means until cleared
	DelayMS    int64 `json:"delay_ms,omitempty"` // for faults that delay something, such as a response or an exit
	Count      int   `json:"count,omitempty"`    // maximum number of injections; zero means no limit
	Every      int   `json:"every,omitempty"`    // inject at every n-th occasion; zero means at every one
	// Callers limits the fault to requests of these callers; empty means all.
	Callers []string `json:"callers,omitempty"`
}

// Delay returns DelayMS as a duration.
func (s Spec) Delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// Duration returns how long the fault lasts; zero means until cleared.
func (s Spec) Duration() time.Duration { return time.Duration(s.DurationMS) * time.Millisecond }

// appliesTo reports whether the fault applies to requests of a caller.
func (s Spec) appliesTo(caller string) bool {
	return len(s.Callers) == 0 || slices.Contains(s.Callers, caller)
}
