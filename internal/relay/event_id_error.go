package relay

import "fmt"

// EventIDError reports a Last-Event-ID that this system did not issue to this team.
type EventIDError struct {
	Reason string
}

// Error implements error.
func (e *EventIDError) Error() string { return fmt.Sprintf("unusable event id: %s", e.Reason) }
