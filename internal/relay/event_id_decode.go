package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"siskintide.example/siskintide/internal/core"
)

// DecodeEventID decodes an event id that an EventIDEncoder wrote for the same team. It
// returns an *EventIDError for any other text.
func DecodeEventID(key []byte, team core.TeamID, text string) (EventID, error) {
	if len(text) > maxEventIDBytes {
		return EventID{}, &EventIDError{Reason: "too long"}
	}
	first, second, ok := strings.Cut(text, ".")
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	encoding := base64.RawURLEncoding.Strict()
	streamPart, err := encoding.DecodeString(first)
	if err != nil {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	tokenPart, err := encoding.DecodeString(second)
	if err != nil || len(tokenPart) != tokenPartBytes+macBytes {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	mac := appendMAC(nil, hmac.New(sha256.New, key), teamMACInput(team), streamPart, tokenPart[:tokenPartBytes])
	if !hmac.Equal(mac, tokenPart[tokenPartBytes:]) {
		return EventID{}, &EventIDError{Reason: "not authentic"}
	}
	return decodeParts(streamPart, tokenPart)
}

// decodeParts decodes the two parts of an authentic event id.
func decodeParts(streamPart, tokenPart []byte) (EventID, error) {
	if len(streamPart) < streamPartFixedBytes || streamPart[0] != eventIDVersion {
		return EventID{}, &EventIDError{Reason: "unknown version"}
	}
	id := EventID{
		Generation:  core.GenerationID(streamPart[1:17]),
		Seed:        binary.BigEndian.Uint64(streamPart[17:25]),
		RequestHash: binary.BigEndian.Uint64(streamPart[25:33]),
		Sequence:    core.Sequence(binary.BigEndian.Uint64(tokenPart[0:8])),
		Digest:      binary.BigEndian.Uint64(tokenPart[8:16]),
		Chat:        tokenPart[16]&flagChat != 0,
		Final:       tokenPart[16]&flagFinal != 0,
	}
	target, rest, ok := cutName(streamPart[streamPartFixedBytes:])
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	incarnation, _, ok := cutName(rest)
	if !ok {
		return EventID{}, &EventIDError{Reason: "malformed"}
	}
	id.Target = core.TargetID(target)
	id.Incarnation = core.Incarnation(incarnation)
	return id, nil
}

// cutName returns the name at the start of data and the bytes after it.
func cutName(data []byte) (name string, rest []byte, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return "", nil, false
	}
	end := n + int(length)
	return string(data[n:end]), data[end:], true
}
