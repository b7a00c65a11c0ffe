// Package headscan follows the framing of HTTP/1.1 requests on a connection while they are read, before they are
// parsed. It finds heads beyond their limits, and requests of which two programs may find different ends.
package headscan
