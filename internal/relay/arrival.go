package relay

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
	"siskintide.example/siskintide/internal/engine"
)

// arrival is one report of a connection's goroutine to the session.
type arrival struct {
	kind       arrivalKind
	connection rerun.ConnectionID
	frame      engine.Frame
	attempt    *attempt      // arrivalStarted
	refusal    *core.Refusal // arrivalRefused
	target     core.TargetID // arrivalLost before a start: the target that failed
	reached    bool          // arrivalLost
}
