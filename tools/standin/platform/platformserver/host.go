package platformserver

// host is one entry of the list of hosts on the wire.
type host struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving,omitempty"`
}
