package peer

import (
	"github.com/fxamacker/cbor/v2"

	"siskintide.example/siskintide/internal/message"
)

// bodyDecoder decodes the body of a frame into a message.
type bodyDecoder func(cbor.RawMessage) (message.Message, error)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// bodyDecoders has a decoder for every message kind of this version.
var bodyDecoders = map[message.Kind]bodyDecoder{
	message.KindTicketRequest:     decodeBody[message.TicketRequest],
	message.KindTicketGrant:       decodeBody[message.TicketGrant],
	message.KindTicketRefusal:     decodeBody[message.TicketRefusal],
	message.KindTicketClosed:      decodeBody[message.TicketClosed],
	message.KindProgress:          decodeBody[message.Progress],
	message.KindPoolCapacity:      decodeBody[message.PoolCapacity],
	message.KindHeartbeat:         decodeBody[message.Heartbeat],
	message.KindConfigRequest:     decodeBody[message.ConfigRequest],
	message.KindConfigBody:        decodeBody[message.ConfigBody],
	message.KindRelayRequest:      decodeBody[message.RelayRequest],
	message.KindRelayResponse:     decodeBody[message.RelayResponse],
	message.KindTicketRevoked:     decodeBody[message.TicketRevoked],
	message.KindHeldTickets:       decodeBody[message.HeldTickets],
	message.KindTargetLoads:       decodeBody[message.TargetLoads],
	message.KindHubRequest:        decodeBody[message.HubRequest],
	message.KindHubResponse:       decodeBody[message.HubResponse],
	message.KindHubUpdate:         decodeBody[message.HubUpdate],
	message.KindHostLoad:          decodeBody[message.HostLoad],
	message.KindPlacementRequest:  decodeBody[message.PlacementRequest],
	message.KindPlacementResponse: decodeBody[message.PlacementResponse],
	message.KindPartEvidence:      decodeBody[message.PartEvidence],
	message.KindTargetLimits:      decodeBody[message.TargetLimits],
}

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func decodeBody[T message.Message](body cbor.RawMessage) (message.Message, error) {
	var m T
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// encodeFrame returns the bytes of one frame.
func encodeFrame(kind uint64, body any) ([]byte, error) {
	encoded, err := encoder.Marshal(body)
	if err != nil {
		return nil, &FrameError{Kind: kind, Cause: err}
	}
	return encoder.Marshal(frame{Kind: kind, Body: encoded})
}

// decodeFrame decodes the kind of a frame and leaves its body encoded. It returns a
// FrameError if data is not exactly one frame.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := decoder.Unmarshal(data, &f); err != nil {
		return frame{}, &FrameError{Bytes: len(data), Cause: err}
	}
	return f, nil
}

// decodeMessage decodes the message of a frame. It returns an UnknownKindError for a kind
// without a decoder, such as one of a later version, and a FrameError for a body that
// does not match its kind.
func decodeMessage(f frame) (message.Message, error) {
	decode := bodyDecoders[message.Kind(f.Kind)]
	if decode == nil || f.Kind > maxMessageKind {
		return nil, &UnknownKindError{Kind: f.Kind}
	}
	m, err := decode(f.Body)
	if err != nil {
		return nil, &FrameError{Kind: f.Kind, Bytes: len(f.Body), Cause: err}
	}
	return m, nil
}
