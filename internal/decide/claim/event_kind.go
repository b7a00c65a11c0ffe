package claim

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventRead means that the row was read.
	EventRead EventKind = iota + 1
	// EventReadFailed means that the row could not be read.
	EventReadFailed
	// EventGranted means that a ticket for the service was granted.
	EventGranted
	// EventRefused means that no ticket was granted.
	EventRefused
	// EventCommitted means that the write took effect.
	EventCommitted
	// EventConflict means that the row had another version; nothing was written.
	EventConflict
	// EventNotApplied means that the platform did not accept the write.
	EventNotApplied
	// EventWriteAmbiguous means that the write may have taken effect or may still do so.
	EventWriteAmbiguous
	// EventUnsent means that no byte of the call has reached or will reach the service.
	EventUnsent
	// EventAmbiguous means that the call may have run.
	EventAmbiguous
	// EventAnswered means that the service has answered.
	EventAnswered
)
