package message

// HostWork tells a hub of all work that a host has at targets.
type HostWork struct {
	Targets       []TargetWork `cbor:"1,keyasint"`
	LastPlacement uint64       `cbor:"2,keyasint"` // number of the last placement received; Targets includes it
	// Outcomes of targets with sends that have ended.
	Outcomes []TargetOutcomes `cbor:"3,keyasint,omitempty"`
}

// MessageKind implements Message.
func (HostWork) MessageKind() Kind { return KindHostWork }
