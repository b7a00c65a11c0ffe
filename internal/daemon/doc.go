// Package daemon runs one host: the control loop, the callers' listener, the links
// with peers, the clients of platform, engines and services, and the admin listener.
package daemon
