package orders

// ReleaseLoadSlot gives the slot back.
type ReleaseLoadSlot struct{}

func (ReleaseLoadSlot) effect() {}
