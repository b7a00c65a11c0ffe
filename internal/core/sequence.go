package core

// Sequence is the number of a token in its generation, counted from 1.
type Sequence uint64
