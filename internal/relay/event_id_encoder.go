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
	// eventIDVersion is the first byte of an event id. A change of the layout requires a new
	// number.
	eventIDVersion = 1
	// macBytes is the length of the truncated MAC of an event id.
	macBytes = 12
	// maxEventIDBytes bounds the text of an event id; a longer one is rejected undecoded.
	maxEventIDBytes = 1024
	// streamPartFixedBytes is the length of the stream part before the names: version,
	// generation, seed and request hash.
	streamPartFixedBytes = 1 + 16 + 8 + 8
	// flagFinal marks the event id of an answer's last token.
	flagFinal = 1 << 0
	// flagChat marks the event id of a chat completion.
	flagChat = 1 << 1
	// tokenPartBytes is the length of the token part without the MAC: sequence number, digest
	// and flags.
	tokenPartBytes = 8 + 8 + 1
)

// EventIDEncoder writes the event ids of one stream. An event id has a stream part, which is
// the same for all tokens of a generation and is encoded once, and a token part. An encoder
// must not be used by several goroutines at a time.
type EventIDEncoder struct {
	mac        hash.Hash
	team       []byte // name and separator, as the MAC covers them
	generation core.GenerationID
	streamPart []byte // binary form of the stream part
	text       []byte // text form of the stream part
	scratch    []byte
}

// NewEventIDEncoder returns an encoder of event ids for one team. All hosts must use the
// same key, so that any of them can resume the stream.
func NewEventIDEncoder(key []byte, team core.TeamID) *EventIDEncoder {
	return &EventIDEncoder{mac: hmac.New(sha256.New, key), team: teamMACInput(team)}
}

// teamMACInput returns a team's contribution to the MAC. The separator is not allowed in
// identifiers, so the end of the team's name is unambiguous.
func teamMACInput(team core.TeamID) []byte { return append([]byte(team), 0) }

// Append appends the text of an event id to dst: the stream part and the token part in
// unpadded URL-safe base64, separated by a full stop.
func (e *EventIDEncoder) Append(dst []byte, id EventID) []byte {
	if e.streamPart == nil || e.generation != id.Generation {
		e.generation = id.Generation
		e.streamPart = appendStreamPart(e.streamPart[:0], id)
		e.text = base64.RawURLEncoding.AppendEncode(e.text[:0], e.streamPart)
	}
	tokenPart := appendTokenPart(e.scratch[:0], id)
	tokenPart = appendMAC(tokenPart, e.mac, e.team, e.streamPart, tokenPart)
	e.scratch = tokenPart
	dst = append(dst, e.text...)
	dst = append(dst, '.')
	return base64.RawURLEncoding.AppendEncode(dst, tokenPart)
}

func appendStreamPart(dst []byte, id EventID) []byte {
	dst = append(dst, eventIDVersion)
	dst = append(dst, id.Generation[:]...)
	dst = binary.BigEndian.AppendUint64(dst, id.Seed)
	dst = binary.BigEndian.AppendUint64(dst, id.RequestHash)
	dst = appendName(dst, string(id.Target))
	return appendName(dst, string(id.Incarnation))
}

func appendName(dst []byte, name string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(name)))
	return append(dst, name...)
}

func appendTokenPart(dst []byte, id EventID) []byte {
	dst = binary.BigEndian.AppendUint64(dst, uint64(id.Sequence))
	dst = binary.BigEndian.AppendUint64(dst, id.Digest)
	var flags byte
	if id.Final {
		flags |= flagFinal
	}
	if id.Chat {
		flags |= flagChat
	}
	return append(dst, flags)
}

// appendMAC appends the truncated MAC of the team and both parts to dst. It does not
// allocate if dst has enough capacity.
func appendMAC(dst []byte, mac hash.Hash, team, streamPart, tokenPart []byte) []byte {
	mac.Reset()
	mac.Write(team)
	mac.Write(streamPart)
	mac.Write(tokenPart)
	length := len(dst)
	return mac.Sum(dst)[:length+macBytes]
}
