package daemon

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/engine"
)

// engineReady is the state of a model version that can serve requests.
const engineReady = "ready"

// ReadEngine implements control.Effects.
func (e *effects) ReadEngine(target core.Target, fence core.Fence, id uint64) {
	e.start(func(ctx context.Context) {
		state, err := e.engines.State(ctx, target.Address)
		if err != nil {
			e.log.WithError(err).WithField("target", target.ID).Debug("engine state not read")
		}
		e.loop.HandleEngineState(target.ID, fence, stateResponse(id, state, err == nil))
	})
}

func stateResponse(id uint64, state engine.State, ok bool) orders.StateResponse {
	response := orders.StateResponse{ID: id, OK: ok, Incarnation: state.Incarnation, Fence: state.Fence}
	for _, m := range state.Models {
		version := orders.Version{Model: m.Model, Version: m.Version}
		response.Versions = append(response.Versions, orders.LoadedVersion{Version: version, Ready: m.State == engineReady})
	}
	return response
}

// SendOrder implements control.Effects. The deadline is checked right before the call, so that a
// process that was paused does not send an expired order.
func (e *effects) SendOrder(target core.Target, order orders.SendOrder) {
	e.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, order.Timeout)
		defer cancel()
		if !time.Now().Before(order.NotAfter) {
			return
		}
		err := e.engines.Order(ctx, target.Address, engine.Order{
			Fence:   order.Fence,
			Kind:    engine.OrderKind(order.Kind),
			Model:   order.Version.Model,
			Version: order.Version.Version,
		})
		if err != nil {
			e.log.WithError(err).WithField("target", target.ID).Warn("order to an engine failed")
		}
	})
}
