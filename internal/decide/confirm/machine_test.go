package confirm_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/confirm"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/decide/revision"
)

// Guards against a second commit on a newer head: it happened when, after a commit whose
// response was lost, the body could not be read. Found by
// TestConfirmedChangesAreNeitherLostNorUndone.
func TestACommitIsRepeatedOnlyOnItsFirstCondition(t *testing.T) {
	intent := plan.Intent{Kind: plan.ApplyDeclarations, Declarations: firstConfig()}
	m := confirm.New(confirm.Request{Plan: plan.Identity(0, intent), Intent: intent}, newTime())
	put := m.HandleHead(confirm.HeadRead{OK: true}).(confirm.PutBody)
	commit := m.HandlePut(true).(confirm.CommitHead)
	require.Equal(t, commit, answerReadBack(t, m.HandleCommit(false), m, 0), "the row is unchanged, so the same commit is sent again")

	settled := answerReadBack(t, m.HandleCommit(false), m, 1)
	require.Equal(t, confirm.ReadBody{Head: revision.Head{Revision: 1}}, settled)
	settled = answerReadBack(t, m.HandleBody(nil), m, 1)
	require.Equal(t, confirm.ReadBody{Head: revision.Head{Revision: 1}}, settled, "the row is newer, so nothing is sent")
	finish := m.HandleBody(put.Config).(confirm.Finish)
	require.Equal(t, confirm.Accepted, finish.Outcome)
	require.Equal(t, core.Revision(1), finish.Revision)
}

// answerReadBack answers a read of the head with the given version.
func answerReadBack(t *testing.T, step confirm.Step, m *confirm.Machine, version uint64) confirm.Step {
	t.Helper()
	require.IsType(t, confirm.ReadHead{}, step)
	return m.HandleHead(confirm.HeadRead{OK: true, Version: version, Head: revision.Head{Revision: core.Revision(version)}})
}

func TestAConfirmationGivesUpAfterABoundedNumberOfReads(t *testing.T) {
	cases := map[string]struct {
		sent bool
		want confirm.Outcome
	}{
		"nothing sent":  {false, confirm.Unavailable},
		"a commit sent": {true, confirm.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			intent := plan.Intent{Kind: plan.ApplyDeclarations, Declarations: firstConfig()}
			m := confirm.New(confirm.Request{Plan: plan.Identity(0, intent), Intent: intent}, newTime())
			step := m.Start()
			if c.sent {
				m.HandleHead(confirm.HeadRead{OK: true})
				m.HandlePut(true)
				step = m.HandleCommit(false)
			}
			reads := 0
			for {
				finish, ended := step.(confirm.Finish)
				if ended {
					require.Equal(t, c.want, finish.Outcome)
					require.LessOrEqual(t, reads, 5)
					return
				}
				reads++
				step = m.HandleHead(confirm.HeadRead{})
			}
		})
	}
}
