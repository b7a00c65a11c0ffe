package fault

// Kind names a fault; each stand-in documents those that it knows.
type Kind string

// Clear ends all faults.
const Clear Kind = "clear"
