package orders

// ReleaseLoadSlot releases the data centre's load slot.
type ReleaseLoadSlot struct{}

func (ReleaseLoadSlot) effect() {}
