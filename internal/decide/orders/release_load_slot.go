package orders

// ReleaseLoadSlot returns the slot to the data centre.
type ReleaseLoadSlot struct{}

func (ReleaseLoadSlot) effect() {}
