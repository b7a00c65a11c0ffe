package ownerstore

import (
	"encoding/json"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
)

// ownerBody is the value of an owner row.
type ownerBody struct {
	Target  core.TargetID  `json:"target"`
	Holder  core.HostID    `json:"holder,omitempty"`
	Session core.SessionID `json:"session,omitempty"`
	Epoch   uint64         `json:"epoch,omitempty"`
	Fence   core.Fence     `json:"fence"`
}

func (s *Store) decodeOwner(row core.Row) (ownership.OwnerRow, error) {
	var body ownerBody
	if err := json.Unmarshal(row.Value, &body); err != nil {
		return ownership.OwnerRow{}, &RowError{Key: row.Key, Cause: err}
	}
	if row.Key != s.ownerKey(body.Target) {
		return ownership.OwnerRow{}, &RowError{Key: row.Key}
	}
	return ownership.OwnerRow{Owner: ownership.Owner(body), Version: row.Version}, nil
}
