package orders

// ReadState asks for the engine's state. The caller responds with HandleState.
type ReadState struct {
	ID uint64 // repeated in the response
}

func (ReadState) effect() {}
