package confirm

import (
	"fmt"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/decide/revision"
)

const maxSettles = 4 // reads that settle lost answers before the operator is told that the outcome is unknown

// Machine carries out one confirmation. Each answer leads to exactly one next step.
type Machine struct {
	request Request
	now     time.Time
	version uint64 // version of the head row that the commit is conditioned on
	head    revision.Head
	next    *core.Config // proposed configuration, nil until it is worked out
	sent    bool         // a commit was sent and may take effect
	settles int
}

// New returns the machine for one confirmation. The time is stored as that of the acceptance.
func New(request Request, now time.Time) *Machine {
	return &Machine{request: request, now: now}
}

// Start returns the first step.
func (m *Machine) Start() Step { return ReadHead{} }

// HandleHead takes the answer to ReadHead.
func (m *Machine) HandleHead(read HeadRead) Step {
	if !read.OK {
		return m.lost()
	}
	if m.sent && read.Version == m.version {
		return m.commit()
	}
	if !m.sent {
		m.version = read.Version // never moved once a commit was sent, or it could be repeated on a later head
	}
	m.head = read.Head
	if read.Version == 0 {
		return m.decide(&core.Config{})
	}
	return ReadBody{Head: read.Head}
}

// HandleBody takes the answer to ReadBody; nil means that the body could not be had.
func (m *Machine) HandleBody(current *core.Config) Step {
	if current == nil || current.Revision != m.head.Revision {
		return m.lost()
	}
	return m.decide(current)
}

// decide works the plan out on the accepted configuration.
func (m *Machine) decide(current *core.Config) Step {
	if at := slices.Index(current.Plans, m.request.Plan); at >= 0 {
		return m.accepted(current, at)
	}
	if m.sent || current.Revision != m.request.Base {
		return Finish{Outcome: Conflicted, Config: current}
	}
	proposed, err := plan.Compute(current, m.request.Intent, m.request.Load)
	if err != nil {
		return refused(err, current)
	}
	if proposed.ID != m.request.Plan {
		return refused(m.mismatch(), current)
	}
	m.next, err = plan.Apply(current, proposed)
	if err != nil {
		return refused(err, current)
	}
	return PutBody{Object: ObjectKey(m.next.Revision, proposed.ID), Config: m.next}
}

// ObjectKey returns the key under which the body of a revision is stored.
func ObjectKey(revision core.Revision, id core.PlanID) string {
	return fmt.Sprintf("config/%d-%s", revision, id)
}

func (m *Machine) mismatch() *plan.Refusal {
	return &plan.Refusal{
		Reason:  plan.MalformedIntent,
		Message: fmt.Sprintf("plan %s does not belong to this intent and base", m.request.Plan),
	}
}

func refused(err error, current *core.Config) Step {
	refusal, ok := err.(*plan.Refusal)
	if !ok {
		refusal = &plan.Refusal{Reason: plan.InvalidResult, Message: err.Error()}
	}
	return Finish{Outcome: Refused, Config: current, Refusal: refusal}
}

// accepted ends with the revision that the plan at this place of the history led to.
func (m *Machine) accepted(current *core.Config, at int) Step {
	outcome := AlreadyAccepted
	if m.sent {
		outcome = Accepted
	}
	later := core.Revision(len(current.Plans) - 1 - at)
	return Finish{Outcome: outcome, Revision: current.Revision - later, Config: current}
}

// HandlePut takes the answer to PutBody.
func (m *Machine) HandlePut(ok bool) Step {
	if !ok {
		return Finish{Outcome: Unavailable}
	}
	return m.commit()
}

func (m *Machine) commit() Step {
	m.sent = true
	head := revision.Head{
		Revision:   m.next.Revision,
		Object:     ObjectKey(m.next.Revision, m.request.Plan),
		Plan:       m.request.Plan,
		AcceptedAt: m.now,
	}
	return CommitHead{Version: m.version, Head: head}
}

// HandleCommit takes the answer to CommitHead. Anything but a clear success, a conflict
// included, is settled by reading back, because the row may have been written by a lost
// answer of this very confirmation.
func (m *Machine) HandleCommit(ok bool) Step {
	if ok {
		return Finish{Outcome: Accepted, Revision: m.next.Revision, Config: m.next}
	}
	return m.lost()
}

// lost reads the head again, or gives up after a bounded number of reads.
func (m *Machine) lost() Step {
	m.settles++
	if m.settles <= maxSettles {
		return ReadHead{Attempt: m.settles}
	}
	if m.sent {
		return Finish{Outcome: Unknown}
	}
	return Finish{Outcome: Unavailable}
}
