package engine

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// IncarnationError reports that the engine has restarted since the ticket was issued.
type IncarnationError struct {
	Expected core.Incarnation
	Running  core.Incarnation
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("engine runs as incarnation %q, expected %q", e.Running, e.Expected)
}
