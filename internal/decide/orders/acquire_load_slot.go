package orders

// AcquireLoadSlot asks for one of the data centre's slots for loading weights. The caller
// responds with HandleLoadSlot.
type AcquireLoadSlot struct{}

func (AcquireLoadSlot) effect() {}
