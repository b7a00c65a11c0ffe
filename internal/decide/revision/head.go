package revision

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Head refers to the newest accepted configuration. The platform stores it in one row.
type Head struct {
	Revision   core.Revision `json:"revision"`
	Object     string        `json:"object"` // key of the body in the object store
	Plan       core.PlanID   `json:"plan"`   // plan that led to this revision
	AcceptedAt time.Time     `json:"accepted_at"`
}
