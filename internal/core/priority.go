package core

// Priority orders requests; a smaller number is served first.
type Priority int
