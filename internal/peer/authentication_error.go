package peer

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// AuthenticationError reports a remote host that did not prove that it holds the shared key.
type AuthenticationError struct {
	Claimed core.HostID
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("host claiming to be %.40q did not prove the shared key", e.Claimed)
}
