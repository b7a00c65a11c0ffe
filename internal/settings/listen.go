package settings

// Listen gives the addresses, IP and port, on which a host listens.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"` // also announced to other hosts
	Admin   string `json:"admin"` // operators, health checks and metrics
}
