package rerun

// ConnectionID numbers the connections that one stream has opened to targets, from 1. A
// frame or failure of a connection that has been replaced has no effect.
type ConnectionID uint32
