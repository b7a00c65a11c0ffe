package fault

// Kind names a fault. Each stand-in documents the kinds that it supports.
type Kind string

// Clear ends all faults.
const Clear Kind = "clear"
