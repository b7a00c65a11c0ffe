package core

// Fence is a fencing token: the number of a target's ownership. It grows with every change
// of owner.
type Fence uint64
