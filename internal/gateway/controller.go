package gateway

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// Controller is the control goroutine as traffic sees it.
type Controller interface {
	View() *edgecontrol.View
	CountRequest(pool core.PoolID)
	Place(ctx context.Context, placing edgecontrol.PlacementRequest) (edgecontrol.Assignment, bool)
	MarkStarted(use edgecontrol.Assignment) edgecontrol.Assignment
	Release(use edgecontrol.Assignment, outcome placement.Outcome)
}

var _ Controller = (*edgecontrol.Loop)(nil)
