// Package shutdown decides which requests a host that shuts down still takes. A request that it takes has its
// response before the host closes its connections; any other is refused before it runs.
package shutdown
