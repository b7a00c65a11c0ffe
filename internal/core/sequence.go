package core

// Sequence numbers the tokens of one generation, from 1.
type Sequence uint64
