package core

// Tokens counts tokens of prompt or output.
type Tokens int64
