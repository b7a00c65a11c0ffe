package operatorapi

import "siskintide.example/siskintide/internal/core"

// Pushed answers a carried configuration.
type Pushed struct {
	Host     core.HostID   `json:"host"`
	Revision core.Revision `json:"revision"` // in force at the host after the call
	Taken    bool          `json:"taken"`    // the carried configuration was newer and is put in force
}
