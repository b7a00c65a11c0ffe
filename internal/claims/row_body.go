package claims

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/claim"
)

// minRetention is the shortest time for which a key is kept after its claim has expired. A
// host that is suspended for longer between reading a key's row and claiming it could run the
// call again, because a deleted row looks like one that never existed.
const minRetention = time.Hour

// rowBody is the encoding of a claim's row.
type rowBody struct {
	State    core.ClaimState   `json:"state"`
	Claimant core.HostID       `json:"claimant"`
	Attempt  core.GenerationID `json:"attempt"`
	BodyHash string            `json:"body_hash"`
	UntilMS  int64             `json:"until_ms"`  // claim.Record.ExpiresAt as Unix time in milliseconds
	DeleteMS int64             `json:"delete_ms"` // Unix time in milliseconds; the row may be deleted from then on
	Status   int               `json:"status,omitempty"`
	Header   http.Header       `json:"header,omitempty"`
	Body     []byte            `json:"body,omitempty"`
	Object   string            `json:"object,omitempty"`  // key of the object that holds the body
	Dropped  bool              `json:"dropped,omitempty"` // the body was too large or could not be stored
}

func newRowBody(record claim.Record, retention time.Duration) rowBody {
	return rowBody{
		State:    record.State,
		Claimant: record.Claimant,
		Attempt:  record.Attempt,
		BodyHash: hex.EncodeToString(record.BodyHash[:]),
		UntilMS:  record.ExpiresAt.UnixMilli(),
		DeleteMS: record.ExpiresAt.Add(max(retention, minRetention)).UnixMilli(),
	}
}

// record returns the part of the row that package claim uses.
func (b rowBody) record() (claim.Record, error) {
	record := claim.Record{State: b.State, Claimant: b.Claimant, Attempt: b.Attempt, ExpiresAt: time.UnixMilli(b.UntilMS)}
	hash, err := hex.DecodeString(b.BodyHash)
	if err != nil || len(hash) != len(record.BodyHash) {
		return claim.Record{}, &RowError{Reason: "bad body hash"}
	}
	copy(record.BodyHash[:], hash)
	return record, nil
}

// decodeRow decodes a row. A row that does not exist gives zero values.
func decodeRow(row core.Row) (rowBody, claim.Record, error) {
	if row.Version == 0 || row.Value == nil {
		return rowBody{}, claim.Record{}, nil
	}
	var body rowBody
	if err := json.Unmarshal(row.Value, &body); err != nil {
		return rowBody{}, claim.Record{}, fmt.Errorf("decode claim: %w", err)
	}
	record, err := body.record()
	return body, record, err
}
