package configcodec

import (
	"encoding/json"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/revision"
)

// HeadKey is the key of the head row in the platform's table.
const HeadKey = "config/head"

// EncodeHead returns the value of the head row.
func EncodeHead(head revision.Head) ([]byte, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return value, nil
}

// DecodeHead decodes the head row. It returns the zero Head for a row that does not exist.
func DecodeHead(row core.Row) (revision.Head, error) {
	head := revision.Head{}
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("decode head: %w", &FormatError{Err: err})
	}
	return head, nil
}
