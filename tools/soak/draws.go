package main

// Sequences of random draws by their users, apart from those of the clients, the faults and the restorations. Each user
// has its own, so that a seed keeps its other faults.
const (
	resumingCallers = 100 // and the caller's number
	deadlyParts     = 200
	deadlyCaller    = 201
	oversizedCalls  = 202
	lostAnswers     = 203
	earlyLosses     = 204
	lapses          = 205
)
