// Package hub chooses the hub of a host: another host from which it gets the platform's
// state and to which it sends placement requests. It also decides when the host has to
// read the platform's store itself. Every host serves as a hub for any host that sends it
// requests. Hosts need not agree on a hub: a hub's responses carry the age of its data, and
// two hubs at the same time only make placements less exact.
package hub
