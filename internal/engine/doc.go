// Package engine is the client of model engines: it starts, resumes and cancels streams,
// reads load, state and cache events, and gives orders. It makes each call once and never
// retries; the caller decides from the type of a failure what may be done next.
package engine
