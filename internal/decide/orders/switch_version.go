package orders

// Switch says that the engine has the wanted version ready, so that new work goes to it.
type Switch struct {
	Version Version
}

func (Switch) effect() {}
