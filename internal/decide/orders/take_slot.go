package orders

// TakeSlot asks for one of the data centre's slots for loading weights.
type TakeSlot struct{}

func (TakeSlot) effect() {}
