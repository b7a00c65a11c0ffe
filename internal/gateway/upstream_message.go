package gateway

// upstreamMessage is sent by an upstream's goroutine to the goroutine that relays its stream.
type upstreamMessage struct {
	kind     upstreamMessageKind
	info     ResponseInfo      // for upstreamOpened
	response *bufferedResponse // for upstreamOpened, if the response is not a stream
	event    streamEvent       // for upstreamEvent
	marked   bool              // for upstreamEnded: a length or a last chunk marked the end
	err      error             // for upstreamFailed
}
