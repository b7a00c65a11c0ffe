package core

// Revision is the number of an accepted configuration. It only grows.
type Revision uint64
