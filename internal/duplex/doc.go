// Package duplex has connections that are read and written at the same time, as those to a target that responds before it
// has the whole request.
package duplex
