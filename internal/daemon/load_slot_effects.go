package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/weights"
)

// loadSlotPrefix is the key prefix of the data centres' load slots.
const loadSlotPrefix = "slot/"

// AcquireLoadSlot implements control.Effects. If the response to the write is lost, the slot
// counts as not acquired. The row may name the claimant by then, so that its next attempt
// succeeds.
func (e *effects) AcquireLoadSlot(claim weights.Claim) {
	e.start(func(ctx context.Context) {
		granted, err := e.acquireLoadSlot(ctx, claim)
		if err != nil {
			e.log.WithError(err).WithField("target", claim.Target).Warn("load slot not acquired")
		}
		e.loop.HandleLoadSlot(claim.Target, claim.Fence, granted)
	})
}

func (e *effects) acquireLoadSlot(ctx context.Context, claim weights.Claim) (bool, error) {
	row, current, err := e.readLoadSlot(ctx)
	if err != nil {
		return false, err
	}
	next, ok := claim.Acquire(current)
	if !ok || next == current {
		return ok, nil
	}
	value, err := json.Marshal(loadSlotRow(next))
	if err != nil {
		return false, fmt.Errorf("encode load slot: %w", err)
	}
	if err := e.writeLoadSlot(ctx, row, value); err != nil {
		return false, err
	}
	return true, nil
}

// ReleaseLoadSlot implements control.Effects.
func (e *effects) ReleaseLoadSlot(claim weights.Claim) {
	e.start(func(ctx context.Context) {
		row, current, err := e.readLoadSlot(ctx)
		if err == nil && claim.CanRelease(current) {
			err = e.writeLoadSlot(ctx, row, nil)
		}
		if err != nil {
			e.log.WithError(err).WithField("target", claim.Target).Warn("load slot not released")
		}
		e.loop.HandleLoadSlotReleased(claim.Target, claim.Fence, err == nil)
	})
}

func (e *effects) readLoadSlot(ctx context.Context) (core.Row, weights.Slot, error) {
	row, err := e.platform.Row(ctx, loadSlotPrefix+string(e.dataCentre))
	if err != nil {
		return row, weights.Slot{}, fmt.Errorf("read load slot: %w", err)
	}
	if len(row.Value) == 0 {
		return row, weights.Slot{}, nil
	}
	var slot loadSlotRow
	if err := json.Unmarshal(row.Value, &slot); err != nil {
		return row, weights.Slot{}, fmt.Errorf("decode load slot: %w", err)
	}
	return row, weights.Slot(slot), nil
}

// writeLoadSlot replaces the slot's row if it has not changed since it was read.
func (e *effects) writeLoadSlot(ctx context.Context, read core.Row, value []byte) error {
	key := loadSlotPrefix + string(e.dataCentre)
	err := e.platform.Commit(ctx, core.Transaction{
		Conditions: []core.Condition{{Key: key, Version: read.Version}},
		Writes:     []core.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write load slot: %w", err)
	}
	return nil
}
