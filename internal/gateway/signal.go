package gateway

// signal is what a source tells the goroutine that relays its stream.
type signal struct {
	kind  signalKind
	meta  ResponseInfo // with sourceOpened
	whole *wholeAnswer // with sourceOpened, if the answer is no stream
	event streamEvent  // with sourceEvent
	err   error        // with sourceFailed
}
