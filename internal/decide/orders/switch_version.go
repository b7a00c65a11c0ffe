package orders

// SwitchVersion directs new work to the given version, which the engine has ready.
type SwitchVersion struct {
	Version Version
}

func (SwitchVersion) effect() {}
