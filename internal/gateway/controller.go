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
	Place(ctx context.Context, placing fleet.Placing) (fleet.Use, bool)
	Started(use fleet.Use) fleet.Use
	End(use fleet.Use, outcome placement.Outcome)
}

var _ Controller = (*fleet.Loop)(nil)
