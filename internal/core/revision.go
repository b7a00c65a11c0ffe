package core

// Revision numbers an accepted configuration; it only grows.
type Revision uint64
