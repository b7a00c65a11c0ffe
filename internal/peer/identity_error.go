package peer

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// IdentityError reports a handshake that names another host than the expected one, or in
// which a host has reached itself.
type IdentityError struct {
	Want core.HostID
	Got  core.HostID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("handshake names host %.40q, want %q", e.Got, e.Want)
}
