package operatorapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HostStatus is what is known about one entry host.
type HostStatus struct {
	Host        core.HostID   `json:"host"`
	Reachable   bool          `json:"reachable"`
	Leaving     bool          `json:"leaving"`
	Revision    core.Revision `json:"revision"`  // last reported to be in force; 0 if never heard
	Confirmed   bool          `json:"confirmed"` // the accepted revision is in force there
	LastContact time.Time     `json:"heard_at,omitzero"`
	// UnconfirmedSince is when the accepted revision that the host has not confirmed was accepted.
	UnconfirmedSince time.Time `json:"since,omitzero"`
}
