package orders

// StopNewWork stops new work for the target until the next SwitchVersion, because its
// engine cannot hold two versions at a time.
type StopNewWork struct{}

func (StopNewWork) effect() {}
