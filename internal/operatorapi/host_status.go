package operatorapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HostStatus is the status of one host as seen by the responding host.
type HostStatus struct {
	Host        core.HostID   `json:"host"`
	Reachable   bool          `json:"reachable"`
	Leaving     bool          `json:"leaving"`
	Revision    core.Revision `json:"revision"`  // in force at its last report; 0 if it never reported
	Confirmed   bool          `json:"confirmed"` // the accepted revision is in force there
	LastContact time.Time     `json:"heard_at,omitzero"`
	// UnconfirmedSince is when the accepted revision was accepted, if the host has not confirmed it.
	UnconfirmedSince time.Time `json:"since,omitzero"`
}
