package gateway

// resumptionOutcome is the outcome of a resumption in metrics.
type resumptionOutcome string

const (
	// resumptionContinued means that the stream went on, or was complete.
	resumptionContinued resumptionOutcome = "continued"
	// resumptionFailed means that the engine failed before it went on, or left events out.
	resumptionFailed resumptionOutcome = "failed"
	// resumptionNotSent means that no engine took the request, or that the retry budget did not cover it.
	resumptionNotSent resumptionOutcome = "not_sent"
	// resumptionInvalid means that the caller's id is not that of an event.
	resumptionInvalid resumptionOutcome = "invalid_id"
	// resumptionEnded means that the request ended before: its caller left, its time was over, or the host stopped.
	resumptionEnded resumptionOutcome = "ended"
)
