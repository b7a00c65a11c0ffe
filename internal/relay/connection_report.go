package relay

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
	"siskintide.example/siskintide/internal/engine"
)

// connectionReport is a message from a connection's goroutine to the session.
type connectionReport struct {
	kind           connectionReportKind
	connection     rerun.ConnectionID
	frame          engine.Frame
	attempt        *attempt      // for reportStarted
	refusal        *core.Refusal // for reportRefused
	target         core.TargetID // for reportGenerationLost before a start: the target that failed
	mayHaveReached bool          // for reportGenerationLost: the request may have reached the target
}
