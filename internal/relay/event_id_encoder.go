package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"

	"siskintide.example/siskintide/internal/core"
)

const (
	// eventVersion is the first byte of an event id; another layout gets another number.
	eventVersion = 1
	// macBytes is the length of the truncated code that authenticates an event id.
	macBytes = 12
	// maxEventIDBytes bounds the text of an event id that is looked at.
	maxEventIDBytes = 1024
	// fixedBytes is the length of the part before the names: version, generation, seed, request hash.
	fixedBytes = 1 + 16 + 8 + 8
	// flagFinal marks the event id of an answer's last token.
	flagFinal = 1 << 0
	// flagChat marks the event id of a chat completion.
	flagChat = 1 << 1
	// movingBytes is the length of the part that changes with every token.
	movingBytes = 8 + 8 + 1
)

// EventIDEncoder writes the event ids of one stream. The part that stays the same for a
// generation is encoded once. It is used by one goroutine.
type EventIDEncoder struct {
	mac        hash.Hash
	team       []byte // name and separator, as the code covers them
	generation core.GenerationID
	steady     []byte // binary form of what stays the same for a generation
	text       []byte // its text form
	scratch    []byte
}

// NewEventIDEncoder returns an encoder of event ids for one team. The key is the same on
// all hosts, so that any of them can resume the stream.
func NewEventIDEncoder(key []byte, team core.TeamID) *EventIDEncoder {
	return &EventIDEncoder{mac: hmac.New(sha256.New, key), team: teamPart(team)}
}

// teamPart returns the bytes that stand for a team in the code. The separator is in no
// identifier, so that the team's end is certain.
func teamPart(team core.TeamID) []byte { return append([]byte(team), 0) }

// Append writes the event id of a position to dst. The form is two parts of unpadded
// URL-safe base64 with a full stop between them.
func (e *EventIDEncoder) Append(dst []byte, position EventID) []byte {
	if e.steady == nil || e.generation != position.Generation {
		e.generation = position.Generation
		e.steady = appendSteady(e.steady[:0], position)
		e.text = base64.RawURLEncoding.AppendEncode(e.text[:0], e.steady)
	}
	moving := appendMoving(e.scratch[:0], position)
	moving = appendMAC(moving, e.mac, e.team, e.steady, moving)
	e.scratch = moving
	dst = append(dst, e.text...)
	dst = append(dst, '.')
	return base64.RawURLEncoding.AppendEncode(dst, moving)
}

func appendSteady(dst []byte, p EventID) []byte {
	dst = append(dst, eventVersion)
	dst = append(dst, p.Generation[:]...)
	dst = binary.BigEndian.AppendUint64(dst, p.Seed)
	dst = binary.BigEndian.AppendUint64(dst, p.RequestHash)
	dst = appendName(dst, string(p.Target))
	return appendName(dst, string(p.Incarnation))
}

func appendName(dst []byte, name string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(name)))
	return append(dst, name...)
}

func appendMoving(dst []byte, p EventID) []byte {
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Sequence))
	dst = binary.BigEndian.AppendUint64(dst, p.Digest)
	var flags byte
	if p.Final {
		flags |= flagFinal
	}
	if p.Chat {
		flags |= flagChat
	}
	return append(dst, flags)
}

// appendMAC writes the code over the team and both parts. Sum appends to dst itself, so
// that a dst with room costs no allocation.
func appendMAC(dst []byte, mac hash.Hash, team, steady, moving []byte) []byte {
	mac.Reset()
	mac.Write(team)
	mac.Write(steady)
	mac.Write(moving)
	length := len(dst)
	return mac.Sum(dst)[:length+macBytes]
}
