package daemon

import (
	"fmt"
	"time"
)

// GraceError reports that requests were still running at the end of the grace period of a
// shutdown.
type GraceError struct {
	Grace time.Duration
}

// Error implements error.
func (e *GraceError) Error() string {
	return fmt.Sprintf("requests were still running after a grace of %s", e.Grace)
}
