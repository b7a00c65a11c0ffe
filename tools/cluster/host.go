package cluster

// Host is one entry host.
type Host struct {
	Name       string
	DataCentre string
	Callers    string // IP and port, as the other addresses
	Peers      string
	Admin      string
	Process    *Process
}
