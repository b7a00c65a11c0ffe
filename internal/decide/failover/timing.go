package failover

import "time"

// Timing holds the delays and deadlines of the steps of a stream.
type Timing struct {
	// SwitchAfter is the time from the notice that the engine is leaving to the switch, which
	// lets the copy receive what the engine generates until then.
	SwitchAfter time.Duration
	// SwitchUnstartedAfter is the same for a generation that has sent no event since it has gone on at the engine.
	SwitchUnstartedAfter time.Duration
	// PrecopyDeadline is the time from the notice after which no first pre-copy begins: it would
	// not finish in time and would delay the moves of other generations.
	PrecopyDeadline time.Duration
	// StopAndCopyAfter is the time from the notice at which a repeated pre-copy first checks
	// whether the links are free for the stop-and-copy step. At StopAndCopyDeadline that step
	// is taken in any case.
	StopAndCopyAfter    time.Duration
	StopAndCopyDeadline time.Duration
	// FastPrecopy is the duration within which a repeated pre-copy ends while the links are free.
	FastPrecopy time.Duration
	// DestinationGrace is the time from the notice that the destination of a move is leaving, within
	// which the generation may still be resumed there.
	DestinationGrace time.Duration
	// SilenceTimeout is the time without an event after which the engine counts as lost. Zero
	// disables the check.
	SilenceTimeout time.Duration
	// BeginWindow is the time from the sending of a request within which an engine begins to run it.
	BeginWindow time.Duration
}
