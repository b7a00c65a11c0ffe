// Package engineserver is a stand-in for a model engine. It runs continuous batching in a
// bounded memory, preempts streams when the memory is exhausted, caches prompt prefixes,
// applies priorities, and lets readers resume and cancel streams. One goroutine owns its
// state.
//
// The tokens of a response are words that depend only on the model version, the prompt and
// the seed, so that all engines generate the same output. A prompt counts as one token per
// 4 bytes. A prompt that contains [[length=N]] yields N tokens; other responses have
// lognormally distributed lengths.
//
// Faults of POST /stand-in/fault:
//
//	kill            crashes the process with its streams; connections are aborted for for_ms
//	exit            ends the process for good
//	freeze          suspends all processing for for_ms, or until cleared
//	reclaim         sets "leaving" in load reports, and exits after delay_ms, if given
//	cold            turns a warm engine cold and flushes its prefix cache
//	cold_silent     turns a warm engine cold
//	overloaded      refuses new streams with status 503
//	nondeterministic  generates other tokens for new streams
//	lose_order      aborts the connection after an order took effect
//	duplicate       sends a frame twice
//	late            sends an earlier frame again
//	crossed         sends a frame of another stream
//	gap             omits a frame
//	stall           pauses for delay_ms in the middle of a frame
//	cut             aborts the connection in the middle of a frame
package engineserver
