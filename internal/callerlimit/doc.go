// Package callerlimit bounds what callers take of a host before the HTTP server parses what they send. It wraps
// the listener: connections are counted, heads are scanned while they are read, and memory is taken from one
// budget for connections, heads, bodies and buffered answers.
package callerlimit
