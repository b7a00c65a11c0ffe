package callerbudget

// share is the part of a process's resources for one listener.
type share struct {
	memory      float64 // part of the memory limit
	connections float64 // part of that memory that connections may have; zero if only the ceiling of their class bounds it
	descriptors float64 // part of the descriptors that are not for files
	least       int     // connections that are allowed on the smallest process
}

// shares are the shares of all listeners. The memory of all of them is 0.39 of the limit; the rest up to half is for the state
// of the host and for memory that is not collected yet. Of the descriptors, each call in work needs another one for its
// target, which is as much again as callers have. 0.01 is left for the store and the links to hubs.
var shares = map[Listener]share{
	Callers: {memory: 0.3, connections: 0.5, descriptors: 0.38, least: 1},
	// Up to 300 hosts may link to one hub at once, and again after a cut while their former links are still open:
	// 632 connections on a host with 3,075 descriptors. A link that is up takes no memory of the budget.
	Peers:     {memory: 0.07, descriptors: 0.22, least: 16},
	Readiness: {memory: 0.01, descriptors: 0.006, least: 8},
	Metrics:   {memory: 0.01, descriptors: 0.003, least: 4},
}
