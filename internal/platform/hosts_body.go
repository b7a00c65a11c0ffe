package platform

import "siskintide.example/siskintide/internal/core"

// hostsBody is the JSON form of the list of hosts.
type hostsBody struct {
	Hosts []core.Host `json:"hosts"`
}
