package core

// Fence numbers an ownership of a target; it grows with every change of owner.
type Fence uint64
