package gateway

import "time"

// Delays, limits and counts that apply to the relay of a stream.
const (
	// switchAfter is the time from the notice that an engine leaves to the switch to the
	// copy. Engines leave 1.5 s after their notice at the earliest; copies lag by up to 0.3 s.
	switchAfter = 900 * time.Millisecond
	// switchUnstartedAfter is the same for a generation that has sent no event since it has gone on at the engine.
	switchUnstartedAfter = 1100 * time.Millisecond
	// The following bound the time from the notice to the moves of a generation without a
	// copy: precopyDeadline is the latest start of the first pre-copy, stopAndCopyAfter and
	// stopAndCopyDeadline are the earliest and latest start of the stop-and-copy step.
	// Moving one gigabyte takes 0.2 s, and an engine that leaves has several to move.
	precopyDeadline     = 900 * time.Millisecond
	stopAndCopyAfter    = 600 * time.Millisecond
	stopAndCopyDeadline = 1150 * time.Millisecond
	// fastPrecopy is the duration of a repeated pre-copy, which copies only what is new,
	// when no other move is queued before it.
	fastPrecopy = 50 * time.Millisecond
	// destinationGrace is how long after the notice that the destination of a move leaves the
	// generation may be resumed there. A notice arrives up to 1.2 s late, and a leaving engine must
	// get no request two seconds after it was given.
	destinationGrace = 600 * time.Millisecond
	// freeTimeout bounds the call that frees a moved KV cache.
	freeTimeout = time.Second
	// runStopTimeout bounds one request to stop a generation.
	runStopTimeout = 300 * time.Millisecond
	// minBeginWindow is the shortest time that an engine is given to queue a request and to read its prompt; the route's
	// AnswerGoal if that is longer.
	minBeginWindow = time.Second
	// latestBeginWindows is the number of such windows after which even a crowded engine has begun.
	latestBeginWindows = 2
	// closeGrace is the time until an engine that the stream has left is asked to stop the generation, from the close of
	// the exchange or from the last request to stop it: together with maxSwitchOverlap it stays below 400 ms.
	closeGrace = 50 * time.Millisecond
	// maxMoveExclusions bounds the list of engines that are not moved to again because they
	// had no capacity.
	maxMoveExclusions = 6
	// silenceFraction is the part of the route's GapGoal after which a silent engine counts
	// as lost. The rest of the goal is left for the switch.
	silenceFraction = 0.75
	// maxSwitchOverlap is how long both engines are kept running while the one that takes over has not responded: two
	// engines must not work on one generation for 400 ms.
	maxSwitchOverlap = 300 * time.Millisecond
	// pacedEvents is the number of events from which the pace of an engine shows. A stream of a slow version may
	// last longer than the rollout.
	pacedEvents = 12
	// capacityWaitFraction is the part of the route's AnswerGoal for which a request waits
	// for capacity. The prompt takes much of the rest.
	capacityWaitFraction = 0.6
	// capacityRetryInterval is the time between two tries while all engines are at capacity;
	// a generation ends every few milliseconds.
	capacityRetryInterval = 60 * time.Millisecond
	// retryAtCapacity is the Retry-After while all engines are at capacity. A generation takes
	// some seconds.
	retryAtCapacity = time.Second
	// soundEvents is the number of events from which a crash of the engine may have another cause.
	soundEvents = 2
	// soundTime is the time from its first event after which a generation is no longer about to begin. Events
	// that an engine sent before it crashed arrive within that time.
	soundTime = time.Second
	// minCopyEvents is the smallest number of expected events for which a copy is kept.
	minCopyEvents = 12
)
