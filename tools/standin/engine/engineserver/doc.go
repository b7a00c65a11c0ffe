// Package engineserver is a stand-in for a model engine. It batches continuously over a
// bounded memory, preempts streams when that is full, caches prompt prefixes, honours
// priorities, and lets readers resume and cancel streams. One goroutine owns its state.
//
// Its tokens are words chosen from the model version, prompt and seed, so that every
// engine gives the same answer. A prompt has one token for each 4 bytes. A prompt that
// contains [[length=N]] has an answer of N tokens; other answers have long-tailed lengths.
//
// Faults of POST /stand-in/fault:
//
//	kill            loses the process and its streams; calls are cut off for for_ms
//	exit            loses the process for good
//	freeze          stops everything for for_ms, or until cleared
//	reclaim         announces in load reports that the engine leaves, and exits after delay_ms, if given
//	cold            turns a warm engine cold and flushes its prefix cache
//	cold_silent     turns a warm engine cold
//	overloaded      refuses new streams with status 503
//	nondeterministic  gives new streams other tokens
//	lose_order      cuts the connection after an order took effect
//	duplicate       sends a frame twice
//	late            sends an earlier frame again
//	crossed         sends a frame of another stream
//	gap             leaves a frame out
//	stall           stops for delay_ms in the middle of a frame
//	cut             cuts the connection in the middle of a frame
package engineserver
