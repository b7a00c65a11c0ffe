package core

// Host is one entry of the platform's list of live and leaving entry hosts.
type Host struct {
	ID          HostID       `json:"id"`
	DataCentre  DataCentreID `json:"data_centre"`
	PeerAddress string       `json:"peer_address"` // IP and port
	Leaving     bool         `json:"leaving,omitempty"`
	Capacity    float64      `json:"capacity,omitempty"` // share of a processor core; zero if it does not say
}
