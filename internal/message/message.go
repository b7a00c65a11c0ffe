package message

// Message is one message between entry hosts.
type Message interface {
	// MessageKind returns the number that identifies the message's type on the wire.
	MessageKind() Kind
}
