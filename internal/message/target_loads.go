package message

// TargetLoads tells peers about all targets that the sender owns, for plans and status.
type TargetLoads struct {
	Targets []TargetLoad `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TargetLoads) MessageKind() Kind { return KindTargetLoads }
