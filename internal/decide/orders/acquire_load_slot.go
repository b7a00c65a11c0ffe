package orders

// AcquireLoadSlot asks for the data centre's load slot, without which no weights may be
// loaded. The caller responds with HandleLoadSlot.
type AcquireLoadSlot struct{}

func (AcquireLoadSlot) effect() {}
