package message

// Message is a message between hosts.
type Message interface {
	// MessageKind returns the number that identifies the message's type on the wire.
	MessageKind() Kind
}
