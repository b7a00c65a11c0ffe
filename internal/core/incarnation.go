package core

// Incarnation identifies one start of a target's process; it changes whenever the target loses its state.
type Incarnation string
