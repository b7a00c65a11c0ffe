package orders

// SwitchVersion says that the engine has the wanted version ready, so that new work goes to it.
type SwitchVersion struct {
	Version Version
}

func (SwitchVersion) effect() {}
