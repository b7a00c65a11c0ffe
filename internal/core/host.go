package core

// Host is an entry of the platform's list of live and leaving hosts.
type Host struct {
	ID          HostID       `json:"id"`
	DataCentre  DataCentreID `json:"data_centre"`
	PeerAddress string       `json:"peer_address"` // IP and port
	Leaving     bool         `json:"leaving,omitempty"`
	Capacity    float64      `json:"capacity,omitempty"` // processor cores available to the host; zero if unknown
}
