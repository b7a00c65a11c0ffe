package orders

// StopNewWork says that the target receives no new work until the next Switch, because its
// engine cannot hold two versions at a time.
type StopNewWork struct{}

func (StopNewWork) effect() {}
