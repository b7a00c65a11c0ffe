package main

// answerKind is how a request ended for its caller.
type answerKind uint8

const (
	answerWhole   answerKind = iota + 1 // success, whole and right
	answerRefused                       // a promise that it has not run
	answerFailed                        // anything else
)
