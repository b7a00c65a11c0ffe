package orders

// AcquireLoadSlot asks for one of the data centre's slots for loading weights.
type AcquireLoadSlot struct{}

func (AcquireLoadSlot) effect() {}
