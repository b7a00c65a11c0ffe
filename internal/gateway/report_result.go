package gateway

import "siskintide.example/siskintide/internal/core"

// reportResult is the result of a request for an engine's report; the zero report if there was
// none.
type reportResult struct {
	target  core.TargetID
	report  EngineReport
	refused bool // the engine has answered without a report
}
