package failover

import "time"

// Timing bounds the steps of a stream.
type Timing struct {
	// SwitchAfter is the time from the notice that the engine leaves to the switch, so that
	// the copy has what the engine made until then.
	SwitchAfter time.Duration
	// SwitchUnstartedAfter is the same for a generation without an event yet.
	SwitchUnstartedAfter time.Duration
	// PrecopyDeadline is the time from the notice after which no memory is moved ahead for the first
	// time: it would not arrive, and keep others from ending their moves.
	PrecopyDeadline time.Duration
	// StopAndCopyAfter is the time from the notice to the first look whether the links are free for
	// the final move, and MoveBy that at which it is made in any case.
	StopAndCopyAfter    time.Duration
	StopAndCopyDeadline time.Duration
	// FastPrecopy is the time in which a repeated move ahead ends while the links are free.
	FastPrecopy time.Duration
	// SilenceTimeout is the pause between events after which the engine counts as lost. Zero
	// means that silence tells nothing.
	SilenceTimeout time.Duration
}
