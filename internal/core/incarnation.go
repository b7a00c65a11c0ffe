package core

// Incarnation identifies one start of a target's process. It changes whenever the target
// loses its state.
type Incarnation string
