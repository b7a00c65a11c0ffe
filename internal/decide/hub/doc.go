// Package hub decides which other host, its hub, a host learns the platform's state from
// and asks for placements, and when it has to read the platform's store by itself. Any
// host is a hub for whoever asks it; nothing has to be agreed, since a hub's answers prove
// their own age, and placements by two hubs at once are only less exact.
package hub
