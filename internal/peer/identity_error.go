package peer

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// IdentityError reports a handshake between hosts that did not mean to reach each other.
type IdentityError struct {
	Want core.HostID
	Got  core.HostID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("handshake names host %.40q, want %q", e.Got, e.Want)
}
