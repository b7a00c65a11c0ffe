package settings

import "siskintide.example/siskintide/internal/core"

// Settings is the checked content of one host's settings file.
type Settings struct {
	Host            core.HostID       `json:"host"`
	DataCentre      core.DataCentreID `json:"data_centre"`
	Listen          ListenAddresses   `json:"listen"`
	PlatformAddress string            `json:"platform"` // IP and port
	PeerKey         string            `json:"peer_key"`
	PeerKeyFile     string            `json:"peer_key_file"` // read into PeerKey
	OperatorKey     string            `json:"operator_key"`
	OperatorKeyFile string            `json:"operator_key_file"` // read into OperatorKey
	EventKey        string            `json:"event_key"`
	EventKeyFile    string            `json:"event_key_file"` // read into EventKey
	Seeds           []core.Host       `json:"seeds"`          // peers to connect to while the platform is unavailable
	Timing          Timing            `json:"timing"`
	LogLevel        string            `json:"log_level"`
}

// Self returns the host that these settings describe, as announced to its peers.
func (s *Settings) Self() core.Host {
	return core.Host{ID: s.Host, DataCentre: s.DataCentre, PeerAddress: s.Listen.Peers}
}
