package main

// stream is a request at an engine.
type stream struct {
	request     *request
	prefillLeft int // tokens of context still to be computed
	output      int // tokens produced
	held        int // tokens of memory held
}

// need returns the tokens of memory that the stream needs to run.
func (s *stream) need() int { return s.request.prompt + s.output }
