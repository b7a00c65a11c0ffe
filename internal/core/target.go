package core

// Target is the declaration of one back end.
type Target struct {
	ID         TargetID     `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	Address    string       `json:"address"` // IP and port
	Kind       TargetKindID `json:"kind"`
	Model      ModelID      `json:"model,omitempty"`   // engines only
	Version    ModelVersion `json:"version,omitempty"` // engines only
	Service    ServiceID    `json:"service,omitempty"` // plain services only
	State      AdminState   `json:"state"`
}
