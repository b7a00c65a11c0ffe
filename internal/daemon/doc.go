// Package daemon wires one entry host together: the control loop, the callers' front, the
// links with peers, the clients of outside systems and the admin listener.
package daemon
