package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// TargetPace sums the times between the events of a host's streams at one engine since its last report.
type TargetPace struct {
	Target  core.TargetID `cbor:"1,keyasint"`
	Events  int           `cbor:"2,keyasint"`           // events whose time since the event before is known
	Time    time.Duration `cbor:"3,keyasint"`           // sum of those times
	Late    int           `cbor:"4,keyasint,omitempty"` // of those, times over Goal
	Longest time.Duration `cbor:"5,keyasint"`           // longest pause; it may have begun before the last report
	Goal    time.Duration `cbor:"6,keyasint"`           // longest pause that is not late
	// LateStreams is the number of streams of which a pause was late for the first time.
	LateStreams int `cbor:"7,keyasint,omitempty"`
}
