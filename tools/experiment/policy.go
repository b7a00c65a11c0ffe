package main

// policy decides when requests run and on which engine. The simulation calls it at each
// event; the policy calls the simulation's send and refuse.
type policy interface {
	// attach sets the simulation. It is called once, before the first event.
	attach(s *simulation)
	// arrived is called when a request arrives.
	arrived(r *request)
	// firstToken is called when a request has produced its first token.
	firstToken(r *request)
	// finished is called when a request has produced its last token.
	finished(r *request)
}
