package platform

import "siskintide.example/siskintide/internal/core"

// hostsBody is the encoded form of the list of hosts.
type hostsBody struct {
	Hosts []core.Host `json:"hosts"`
}
