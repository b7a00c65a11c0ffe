package gateway

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// Controller is the interface of traffic goroutines to the control goroutine.
type Controller interface {
	// View returns the latest view of the control state without waiting.
	View() *edgecontrol.View
	// MarkLeaving records that a target has said itself that it leaves.
	MarkLeaving(target core.TargetID)
	// CountRequest counts a caller's request for the pool's retry budget.
	CountRequest(pool core.PoolID)
	// RecordPartCrash records that an engine crashed as it began to respond to a request with the
	// given prompt parts.
	RecordPartCrash(parts []core.PromptPart, crash core.EngineCrash)
	// RecordPartSound records that a generation on the given prompt parts has begun.
	RecordPartSound(parts []core.PromptPart, id uint64)
	// RecordRateLimit records whether the response to a request sent at sentAt has named the requests
	// per second that the target takes from all hosts together; nil if it named none. notRun is set if
	// the target did not run the request.
	RecordRateLimit(target core.TargetID, rate *float64, notRun bool, sentAt time.Duration)
	// RecordRest records that a target has turned a request away and asked this host to send it nothing
	// for a time.
	RecordRest(target core.TargetID, rest time.Duration)
	// Place assigns a target to a request. It returns false if no target was assigned;
	// Assignment.AtCapacity then says whether the request may wait and be placed again.
	Place(ctx context.Context, request edgecontrol.PlacementRequest) (edgecontrol.Assignment, bool)
	// MarkStarted records that the target has sent the first event, and returns the
	// assignment with its load reduced accordingly.
	MarkStarted(assignment edgecontrol.Assignment) edgecontrol.Assignment
	// RecordPace records the times between events of a stream at an engine.
	RecordPace(target core.TargetID, sums pace.Sums)
	// MarkPaced records the mean pause between the first events of a stream, and returns the assignment.
	MarkPaced(assignment edgecontrol.Assignment, pause time.Duration) edgecontrol.Assignment
	// Release ends an assignment and records the outcome of the attempt.
	Release(assignment edgecontrol.Assignment, outcome placement.Outcome)
}

var _ Controller = (*edgecontrol.Loop)(nil)
