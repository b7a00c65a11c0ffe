package revision

// ReadHead asks for the head row of the platform.
type ReadHead struct{}

func (ReadHead) effect() {}
