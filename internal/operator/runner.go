package operator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/configcodec"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/confirm"
	"siskintide.example/siskintide/internal/decide/plan"
)

const (
	initialReadBackDelay = 100 * time.Millisecond // before the first read of the head after a lost response
	maxReadBackDelay     = time.Second            // bound of the growing delay before jitter; an operator waits for the outcome
)

// runner executes the steps of one confirmation against the platform.
type runner struct {
	store  Store
	clock  clockwork.Clock
	delays backoff.BackOff
}

func newRunner(store Store, clock clockwork.Clock) *runner {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialReadBackDelay
	delays.MaxInterval = maxReadBackDelay
	return &runner{store: store, clock: clock, delays: delays}
}

// run executes the machine's steps until it finishes.
func (r *runner) run(ctx context.Context, machine *confirm.Machine) confirm.Finish {
	next := machine.Start()
	for {
		if finish, ended := next.(confirm.Finish); ended {
			return finish
		}
		next = r.executeStep(ctx, machine, next)
	}
}

// executeStep executes one step and returns the next step of the machine.
func (r *runner) executeStep(ctx context.Context, machine *confirm.Machine, step confirm.Step) confirm.Step {
	switch s := step.(type) {
	case confirm.ReadHead:
		r.waitBeforeReadBack(ctx, s.Attempt)
		version, head, err := readHead(ctx, r.store)
		return machine.HandleHead(confirm.HeadRead{OK: err == nil, Version: version, Head: head})
	case confirm.ReadBody:
		config, err := readBody(ctx, r.store, s.Head.Object)
		if err != nil {
			config = nil
		}
		return machine.HandleBody(config)
	case confirm.PutBody:
		return r.putBody(ctx, machine, s)
	case confirm.CommitHead:
		return machine.HandleCommit(r.commitHead(ctx, s) == nil)
	}
	return confirm.Finish{Outcome: confirm.Unknown}
}

// waitBeforeReadBack waits before a read of the head that follows a lost response. Attempt 0 is
// the first read of the confirmation and does not wait.
func (r *runner) waitBeforeReadBack(ctx context.Context, attempt int) {
	if attempt == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(r.delays.NextBackOff()):
	}
}

// putBody checks a proposed configuration and stores it.
func (r *runner) putBody(ctx context.Context, machine *confirm.Machine, step confirm.PutBody) confirm.Step {
	if err := configcheck.Check(step.Config, true); err != nil {
		refusal := &plan.Refusal{Reason: plan.InvalidResult, Message: err.Error()}
		return confirm.Finish{Outcome: confirm.Refused, Refusal: refusal}
	}
	body, err := configcodec.Encode(step.Config)
	if err == nil {
		err = r.store.PutObject(ctx, step.Object, body)
	}
	return machine.HandlePut(err == nil)
}

// commitHead replaces the head row if it still has the expected version.
func (r *runner) commitHead(ctx context.Context, step confirm.CommitHead) error {
	value, err := configcodec.EncodeHead(step.Head)
	if err != nil {
		return err
	}
	return r.store.Commit(ctx, core.Transaction{
		Conditions: []core.Condition{{Key: configcodec.HeadKey, Version: step.Version}},
		Writes:     []core.Write{{Key: configcodec.HeadKey, Value: value}},
	})
}
