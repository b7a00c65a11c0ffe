package platformserver

// host is the JSON form of one entry of the list of hosts.
type host struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving,omitempty"`
}
