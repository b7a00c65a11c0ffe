package core

// StreamLoad is one running or waiting stream in a target's load report.
type StreamLoad struct {
	Generation GenerationID
	Context    Tokens // prompt and output held in the target's memory
}
