// Package cluster starts deployments of real processes on loopback, for the demo and for
// measurements: entry hosts, stand-ins of engines and services, and the platform's stand-in.
package cluster
