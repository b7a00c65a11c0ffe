package cluster

// Host is one host of a deployment.
type Host struct {
	Name          string
	DataCentre    string
	CallerAddress string // all addresses are IP and port
	PeerAddress   string
	AdminAddress  string
	Process       *Process // nil until the host is started
}
