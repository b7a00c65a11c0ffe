// Package engine is the client of model engines: it starts, resumes and cancels streams,
// reads load, state and cache events, and sends orders. It makes each call once and never
// retries. The type of an error says whether the call may have taken effect, so that the
// caller can decide on a retry.
package engine
