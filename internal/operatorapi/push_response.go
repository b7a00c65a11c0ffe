package operatorapi

import "siskintide.example/siskintide/internal/core"

// PushResponse is the response to a pushed configuration.
type PushResponse struct {
	Host     core.HostID   `json:"host"`
	Revision core.Revision `json:"revision"` // in force at the host after the call
	Applied  bool          `json:"taken"`    // the pushed configuration was newer and is put in force
}
