package orders

// ReadState asks the engine for its state.
type ReadState struct {
	ID uint64 // repeated in the answer
}

func (ReadState) effect() {}
