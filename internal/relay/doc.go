// Package relay carries one generation from engines to one caller. A session is driven by
// the caller's own goroutine, which owns all of its state; one goroutine for each
// connection to an engine hands it frames and failures over a channel. What is to be done
// on each of them is decided by package rerun.
//
// A caller that leaves does not cancel a generation of which it has an event id: it may
// resume at any host, and a cancellation by this host could hit the resumed stream. The
// engine itself cancels a stream that has no reader for its resume window, and the ticket
// is closed as abandoned, so that it counts until the engine no longer lists it. A
// generation that nobody can resume is cancelled at once.
package relay
