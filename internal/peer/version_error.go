package peer

import "fmt"

// VersionError reports a remote host with another protocol version.
type VersionError struct {
	Remote uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("remote host speaks protocol version %d, want %d", e.Remote, ProtocolVersion)
}
