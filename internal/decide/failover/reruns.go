package failover

// maxSilentFailures is the number of engines that may fail under one request before they respond. Such an engine may
// have crashed under the request, and a further one would too.
const maxSilentFailures = 2

// Reruns decides whether a request whose generation is lost is sent again to another engine, which goes on after the
// last event that was passed on. It spans all engines of one request, and is used only by the goroutine that relays
// its stream. A nil Reruns allows none.
type Reruns struct {
	maxRuns   int // engines that may run the request
	runs      int // engines that may have run it, or went on with its generation
	silent    int // engines that failed before they responded
	forbidden bool
}

// NewReruns returns the state of a request that has not been sent yet and may run at maxRuns engines.
func NewReruns(maxRuns int) *Reruns { return &Reruns{maxRuns: maxRuns} }

// RecordRun records that one more engine may have run the request, or gone on with its generation.
func (r *Reruns) RecordRun() {
	if r != nil {
		r.runs++
	}
}

// RecordSilentFailure records that an engine failed after it may have got the request and before it responded.
func (r *Reruns) RecordSilentFailure() {
	if r == nil {
		return
	}
	r.silent++
	if r.silent >= maxSilentFailures {
		r.Forbid()
	}
}

// Forbid records that the request must not be sent again: another engine would fail too, or could not be asked for
// the rest of the stream.
func (r *Reruns) Forbid() {
	if r != nil {
		r.forbidden = true
	}
}

// Allowed reports whether the request may be sent to another engine.
func (r *Reruns) Allowed() bool { return r != nil && !r.forbidden && r.runs < r.maxRuns }
