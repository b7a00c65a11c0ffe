package main

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}
