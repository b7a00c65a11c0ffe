package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/weights"
)

// slotPrefix begins the keys of the data centres' slots.
const slotPrefix = "slot/"

// AcquireLoadSlot implements control.Ports. A lost answer counts as not granted: the row names
// the claimant then, and the next demand is granted.
func (e *effects) AcquireLoadSlot(claim weights.Claim) {
	e.start(func(ctx context.Context) {
		granted, err := e.takeSlot(ctx, claim)
		if err != nil {
			e.log.WithError(err).WithField("target", claim.Target).Warn("slot not taken")
		}
		e.loop.HandleLoadSlot(claim.Target, claim.Fence, granted)
	})
}

func (e *effects) takeSlot(ctx context.Context, claim weights.Claim) (bool, error) {
	row, current, err := e.readSlot(ctx)
	if err != nil {
		return false, err
	}
	next, ok := claim.Acquire(current)
	if !ok || next == current {
		return ok, nil
	}
	value, err := json.Marshal(slotRow(next))
	if err != nil {
		return false, fmt.Errorf("encode slot: %w", err)
	}
	if err := e.writeSlot(ctx, row, value); err != nil {
		return false, err
	}
	return true, nil
}

// ReleaseLoadSlot implements control.Ports.
func (e *effects) ReleaseLoadSlot(claim weights.Claim) {
	e.start(func(ctx context.Context) {
		row, current, err := e.readSlot(ctx)
		if err == nil && claim.CanRelease(current) {
			err = e.writeSlot(ctx, row, nil)
		}
		if err != nil {
			e.log.WithError(err).WithField("target", claim.Target).Warn("slot not freed")
		}
		e.loop.HandleLoadSlotReleased(claim.Target, claim.Fence, err == nil)
	})
}

func (e *effects) readSlot(ctx context.Context) (core.Row, weights.Slot, error) {
	row, err := e.platform.Row(ctx, slotPrefix+string(e.dataCentre))
	if err != nil {
		return row, weights.Slot{}, fmt.Errorf("read slot: %w", err)
	}
	if len(row.Value) == 0 {
		return row, weights.Slot{}, nil
	}
	var slot slotRow
	if err := json.Unmarshal(row.Value, &slot); err != nil {
		return row, weights.Slot{}, fmt.Errorf("decode slot: %w", err)
	}
	return row, weights.Slot(slot), nil
}

// writeSlot replaces the slot's row if it is still as it was read.
func (e *effects) writeSlot(ctx context.Context, read core.Row, value []byte) error {
	key := slotPrefix + string(e.dataCentre)
	err := e.platform.Commit(ctx, core.Transaction{
		Conditions: []core.Condition{{Key: key, Version: read.Version}},
		Writes:     []core.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write slot: %w", err)
	}
	return nil
}
