// Package cluster starts deployments of real processes on loopback, for the demo and for
// measurements: hosts, and stand-ins of engines, services and the platform.
package cluster
