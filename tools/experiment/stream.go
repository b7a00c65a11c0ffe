package main

// stream is a request on an engine.
type stream struct {
	request     *request
	prefillLeft int // tokens of context still to be computed, or justPrefilled
	output      int // tokens produced
	memoryHeld  int // tokens of memory held
}

// contextTokens returns the length of the stream's context: the tokens of memory that it
// needs to run.
func (s *stream) contextTokens() int { return s.request.prompt + s.output }
