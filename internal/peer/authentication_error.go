package peer

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// AuthenticationError reports a remote host whose handshake proof is not valid for the
// shared key.
type AuthenticationError struct {
	Claimed core.HostID
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("invalid proof of the shared key from a host that claims to be %.40q", e.Claimed)
}
