package cluster

// Host is one entry host.
type Host struct {
	Name          string
	DataCentre    string
	CallerAddress string // IP and port, as the other addresses
	PeerAddress   string
	AdminAddress  string
	Process       *Process
}
