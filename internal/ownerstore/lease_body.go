package ownerstore

import (
	"encoding/json"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
)

// leaseBody is the value of a lease row.
type leaseBody struct {
	Host    core.HostID    `json:"host"`
	Session core.SessionID `json:"session"`
	Epoch   uint64         `json:"epoch"`
	Serial  uint64         `json:"serial"`
	Ended   bool           `json:"ended,omitempty"`
}

func (s *Store) decodeLease(row core.Row) (ownership.LeaseRow, error) {
	var body leaseBody
	if err := json.Unmarshal(row.Value, &body); err != nil {
		return ownership.LeaseRow{}, &RowError{Key: row.Key, Cause: err}
	}
	if row.Key != s.leaseKey(body.Host) {
		return ownership.LeaseRow{}, &RowError{Key: row.Key}
	}
	return ownership.LeaseRow{Lease: ownership.Lease(body), Version: row.Version}, nil
}
