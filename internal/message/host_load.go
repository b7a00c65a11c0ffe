package message

// HostLoad reports to a hub the load that a host has on all targets.
type HostLoad struct {
	Targets       []HostTargetLoad `cbor:"1,keyasint"`
	LastPlacement uint64           `cbor:"2,keyasint"` // every placement up to this number is included in Targets or was given up
	// Outcomes lists the targets with requests that have ended since the last report.
	Outcomes []TargetOutcomes `cbor:"3,keyasint,omitempty"`
	// Pace lists the engines whose streams have had events since the last report; only those of pools whose pace is
	// learned.
	Pace []TargetPace `cbor:"4,keyasint,omitempty"`
}

// MessageKind implements Message.
func (HostLoad) MessageKind() Kind { return KindHostLoad }
