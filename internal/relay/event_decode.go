package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"siskintide.example/siskintide/internal/core"
)

// DecodeEventID reads an event id that EventEncoder wrote for the same team. It returns
// an *EventIDError for any other text.
func DecodeEventID(key []byte, team core.TeamID, text string) (EventID, error) {
	if len(text) > maxEventIDBytes {
		return EventID{}, &EventIDError{Reason: "too long"}
	}
	first, second, ok := strings.Cut(text, ".")
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	encoding := base64.RawURLEncoding.Strict()
	steady, err := encoding.DecodeString(first)
	if err != nil {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	moving, err := encoding.DecodeString(second)
	if err != nil || len(moving) != movingBytes+macBytes {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	code := appendMAC(nil, hmac.New(sha256.New, key), teamPart(team), steady, moving[:movingBytes])
	if !hmac.Equal(code, moving[movingBytes:]) {
		return EventID{}, &EventIDError{Reason: "not authentic"}
	}
	return decodePosition(steady, moving)
}

// decodePosition reads the parts of an authentic event id.
func decodePosition(steady, moving []byte) (EventID, error) {
	if len(steady) < fixedBytes || steady[0] != eventVersion {
		return EventID{}, &EventIDError{Reason: "unknown version"}
	}
	position := EventID{
		Generation:  core.GenerationID(steady[1:17]),
		Seed:        binary.BigEndian.Uint64(steady[17:25]),
		RequestHash: binary.BigEndian.Uint64(steady[25:33]),
		Sequence:    core.Sequence(binary.BigEndian.Uint64(moving[0:8])),
		Digest:      binary.BigEndian.Uint64(moving[8:16]),
		Chat:        moving[16]&flagChat != 0,
		Final:       moving[16]&flagFinal != 0,
	}
	target, rest, ok := cutName(steady[fixedBytes:])
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	incarnation, _, ok := cutName(rest)
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	position.Target = core.TargetID(target)
	position.Incarnation = core.Incarnation(incarnation)
	return position, nil
}

func cutName(data []byte) (name string, rest []byte, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return "", nil, false
	}
	end := n + int(length)
	return string(data[n:end]), data[end:], true
}
