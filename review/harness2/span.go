package main

// span is the time in Unix milliseconds from the beginning of a run to the last work on it.
type span struct{ began, last int64 }
