package fault

import (
	"slices"
	"time"
)

// Spec asks a stand-in to show a fault.
type Spec struct {
	Kind       Kind  `json:"kind"`
	DurationMS int64 `json:"for_ms,omitempty"`   // how long it lasts; zero means until cleared
	DelayMS    int64 `json:"delay_ms,omitempty"` // delay of faults that delay something
	Count      int   `json:"count,omitempty"`    // how often it shows; zero means any number of times
	Every      int   `json:"every,omitempty"`    // shows at each n-th occasion; zero means at each
	// Callers limits the fault to calls of these callers; empty means all.
	Callers []string `json:"callers,omitempty"`
}

// Delay returns the delay of faults that delay something.
func (o Spec) Delay() time.Duration { return time.Duration(o.DelayMS) * time.Millisecond }

// Duration returns how long the fault lasts; zero means until cleared.
func (o Spec) Duration() time.Duration { return time.Duration(o.DurationMS) * time.Millisecond }

// concerns reports whether the fault shows to a caller.
func (o Spec) concerns(caller string) bool {
	return len(o.Callers) == 0 || slices.Contains(o.Callers, caller)
}
