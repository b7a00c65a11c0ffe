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
	firstSettleWait = 100 * time.Millisecond // before the first read that settles a lost answer
	maxSettleWait   = time.Second            // longest wait between such reads; operators wait for the answer
)

// runner carries out the steps of one confirmation at the platform.
type runner struct {
	store Store
	clock clockwork.Clock
	waits backoff.BackOff
}

func newRunner(store Store, clock clockwork.Clock) *runner {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstSettleWait
	waits.MaxInterval = maxSettleWait
	return &runner{store: store, clock: clock, waits: waits}
}

// run drives the machine to its end.
func (r *runner) run(ctx context.Context, machine *confirm.Machine) confirm.Finish {
	next := machine.Start()
	for {
		if finish, ended := next.(confirm.Finish); ended {
			return finish
		}
		next = r.do(ctx, machine, next)
	}
}

// do carries out one step and returns the machine's next one.
func (r *runner) do(ctx context.Context, machine *confirm.Machine, step confirm.Step) confirm.Step {
	switch s := step.(type) {
	case confirm.ReadHead:
		r.wait(ctx, s.Attempt)
		version, head, err := readHead(ctx, r.store)
		return machine.HandleHead(confirm.HeadRead{OK: err == nil, Version: version, Head: head})
	case confirm.ReadBody:
		config, err := readBody(ctx, r.store, s.Head.Object)
		if err != nil {
			config = nil
		}
		return machine.HandleBody(config)
	case confirm.PutBody:
		return r.put(ctx, machine, s)
	case confirm.CommitHead:
		return machine.HandleCommit(r.commit(ctx, s) == nil)
	}
	return confirm.Finish{Outcome: confirm.Unknown}
}

// wait lets a settling read come a while after the answer that was lost.
func (r *runner) wait(ctx context.Context, attempt int) {
	if attempt == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(r.waits.NextBackOff()):
	}
}

// put stores a proposed body once it has been checked as a whole.
func (r *runner) put(ctx context.Context, machine *confirm.Machine, step confirm.PutBody) confirm.Step {
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

// commit replaces the head row by compare-and-swap.
func (r *runner) commit(ctx context.Context, step confirm.CommitHead) error {
	value, err := configcodec.EncodeHead(step.Head)
	if err != nil {
		return err
	}
	return r.store.Commit(ctx, core.Transaction{
		Conditions: []core.Condition{{Key: configcodec.HeadKey, Version: step.Version}},
		Writes:     []core.Write{{Key: configcodec.HeadKey, Value: value}},
	})
}
