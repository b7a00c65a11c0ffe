package settings

// ListenAddresses gives the addresses, IP and port, on which a host listens.
type ListenAddresses struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"` // also announced to peers
	Admin   string `json:"admin"` // operators, health checks and metrics
}
