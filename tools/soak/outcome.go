package main

// outcome is the result of a request for its caller.
type outcome uint8

const (
	outcomeComplete outcome = iota + 1 // a complete and correct success
	outcomeRefused                     // a status that guarantees that the request was not run
	outcomeFailed                      // anything else
)
