package main

// policy decides where and when requests run. The simulation calls it at each event; it
// acts through the simulation's send and refuse.
type policy interface {
	// attach gives the policy its simulation before anything happens.
	attach(s *simulation)
	// arrived takes a new request.
	arrived(r *request)
	// firstToken takes the first token of a request.
	firstToken(r *request)
	// finished takes the end of a request.
	finished(r *request)
}
