package confirm

import (
	"fmt"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/decide/revision"
)

// maxReadBacks is the number of reads of the head after lost responses before the outcome is
// reported as unknown or unavailable.
const maxReadBacks = 4

// Machine is the state machine of one confirmation. Each response leads to exactly one next
// step.
type Machine struct {
	request    Request
	now        time.Time
	version    uint64 // version of the head row that the commit is conditioned on
	head       revision.Head
	proposed   *core.Config // proposed configuration; nil until it is computed
	commitSent bool         // a commit was sent and may take effect
	readBacks  int
}

// New returns the machine of one confirmation. now is stored as the time of acceptance.
func New(request Request, now time.Time) *Machine {
	return &Machine{request: request, now: now}
}

// Start returns the first step.
func (m *Machine) Start() Step { return ReadHead{} }

// HandleHead handles the response to ReadHead.
func (m *Machine) HandleHead(read HeadRead) Step {
	if !read.OK {
		return m.readBack()
	}
	if m.commitSent && read.Version == m.version {
		return m.commit()
	}
	if !m.commitSent {
		// Once a commit was sent the version is kept, so that the commit is not repeated on a
		// later head.
		m.version = read.Version
	}
	m.head = read.Head
	if read.Version == 0 {
		return m.computePlan(&core.Config{})
	}
	return ReadBody{Head: read.Head}
}

// HandleBody handles the response to ReadBody; nil means that the body could not be read.
func (m *Machine) HandleBody(current *core.Config) Step {
	if current == nil || current.Revision != m.head.Revision {
		return m.readBack()
	}
	return m.computePlan(current)
}

// computePlan computes the plan again on the accepted configuration.
func (m *Machine) computePlan(current *core.Config) Step {
	if at := slices.Index(current.Plans, m.request.Plan); at >= 0 {
		return m.finishAccepted(current, at)
	}
	if m.commitSent || current.Revision != m.request.Base {
		return Finish{Outcome: Conflicted, Config: current}
	}
	proposed, err := plan.Compute(current, m.request.Intent, m.request.Load)
	if err != nil {
		return finishRefused(err, current)
	}
	if proposed.ID != m.request.Plan {
		return finishRefused(m.mismatch(), current)
	}
	m.proposed, err = plan.Apply(current, proposed)
	if err != nil {
		return finishRefused(err, current)
	}
	return PutBody{Object: ObjectKey(m.proposed.Revision, proposed.ID), Config: m.proposed}
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

func finishRefused(err error, current *core.Config) Step {
	refusal, ok := err.(*plan.Refusal)
	if !ok {
		refusal = &plan.Refusal{Reason: plan.InvalidResult, Message: err.Error()}
	}
	return Finish{Outcome: Refused, Config: current, Refusal: refusal}
}

// finishAccepted returns a Finish with the revision of the plan at the given index of the
// history.
func (m *Machine) finishAccepted(current *core.Config, at int) Step {
	outcome := AlreadyAccepted
	if m.commitSent {
		outcome = Accepted
	}
	later := core.Revision(len(current.Plans) - 1 - at)
	return Finish{Outcome: outcome, Revision: current.Revision - later, Config: current}
}

// HandlePut handles the response to PutBody.
func (m *Machine) HandlePut(ok bool) Step {
	if !ok {
		return Finish{Outcome: Unavailable}
	}
	return m.commit()
}

func (m *Machine) commit() Step {
	m.commitSent = true
	head := revision.Head{
		Revision:   m.proposed.Revision,
		Object:     ObjectKey(m.proposed.Revision, m.request.Plan),
		Plan:       m.request.Plan,
		AcceptedAt: m.now,
	}
	return CommitHead{Version: m.version, Head: head}
}

// HandleCommit handles the response to CommitHead. After anything but success the head is
// read back. This includes a conflict, because an earlier commit of this confirmation whose
// response was lost may have written the row.
func (m *Machine) HandleCommit(ok bool) Step {
	if ok {
		return Finish{Outcome: Accepted, Revision: m.proposed.Revision, Config: m.proposed}
	}
	return m.readBack()
}

// readBack reads the head again, or ends the machine after maxReadBacks reads.
func (m *Machine) readBack() Step {
	m.readBacks++
	if m.readBacks <= maxReadBacks {
		return ReadHead{Attempt: m.readBacks}
	}
	if m.commitSent {
		return Finish{Outcome: Unknown}
	}
	return Finish{Outcome: Unavailable}
}
