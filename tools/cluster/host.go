package cluster

// Host is one entry host.
type Host struct {
	Name          string
	DataCentre    string
	CallerAddress string // all addresses are IP and port
	PeerAddress   string
	AdminAddress  string
	Process       *Process
}
