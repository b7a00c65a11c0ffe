package message

// TargetLoads reports the loads of all targets that the sender owns. They are used for
// plans, for status, and by the next owner of a target.
type TargetLoads struct {
	Targets []TargetLoad `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TargetLoads) MessageKind() Kind { return KindTargetLoads }
