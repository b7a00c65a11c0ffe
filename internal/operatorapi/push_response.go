package operatorapi

import "siskintide.example/siskintide/internal/core"

// PushResponse answers a carried configuration.
type PushResponse struct {
	Host     core.HostID   `json:"host"`
	Revision core.Revision `json:"revision"` // in force at the host after the call
	Applied  bool          `json:"taken"`    // the carried configuration was newer and is put in force
}
