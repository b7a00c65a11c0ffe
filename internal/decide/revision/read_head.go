package revision

// ReadHead reads the head row of the platform.
type ReadHead struct{}

func (ReadHead) effect() {}
