package relay

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
)

// connection is the session's record of one connection's goroutine.
type connection struct {
	id         rerun.ConnectionID
	generation core.GenerationID // zero until the generation has started
	cancel     context.CancelFunc
}
