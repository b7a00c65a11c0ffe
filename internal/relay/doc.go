// Package relay streams generations from engines to callers. Each stream has a session,
// which runs on the goroutine of the caller's request and owns all of its state. Each
// connection to an engine has its own goroutine, which sends frames and failures to the
// session over a channel. Package rerun decides what the session does on each of them.
//
// When a caller disconnects, its generation is not cancelled if the caller has an event id
// of it: the caller may resume the stream at any host, and a cancellation by this host
// could end the resumed stream. The engine itself cancels a stream that has no reader
// during its resume window. The ticket is closed as abandoned, so that it counts until the
// engine no longer lists the stream. A generation that cannot be resumed is cancelled at
// once.
package relay
