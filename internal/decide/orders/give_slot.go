package orders

// GiveSlot gives the slot back.
type GiveSlot struct{}

func (GiveSlot) effect() {}
