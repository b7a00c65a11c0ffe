package gateway

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/fleet"
)

// Controller is the control goroutine as traffic sees it.
type Controller interface {
	View() *fleet.View
	Count(pool core.PoolID)
	Place(ctx context.Context, placing fleet.PlacementRequest) (fleet.Assignment, bool)
	Started(use fleet.Assignment) fleet.Assignment
	End(use fleet.Assignment, outcome placement.Outcome)
}

var _ Controller = (*fleet.Loop)(nil)
