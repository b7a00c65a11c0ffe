package fairness

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

var start = time.Unix(0, 0)

func request(n uint64, team core.TeamID, priority core.Priority) core.TicketRequest {
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[:], n)
	return core.TicketRequest{Generation: id, Team: team, Priority: priority}
}

// TestTokensConvergeToTheWeights keeps two teams saturated. Their requests take very
// different numbers of tokens, which become known only after the requests were served.
func TestTokensConvergeToTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weightA := rapid.IntRange(1, 8).Draw(t, "weight a")
		weightB := rapid.IntRange(1, 8).Draw(t, "weight b")
		largest := rapid.Int64Range(10, 2000).Draw(t, "largest of a")
		q := NewQueue()
		q.SetWeights(map[core.TeamID]int{"a": weightA, "b": weightB})
		served := map[core.TeamID]float64{}
		for n := range uint64(3000) {
			for _, team := range []core.TeamID{"a", "b"} {
				if q.accounts[team] == nil || q.accounts[team].entries == 0 {
					q.Push(request(2*n+uint64(team[0]-'a'), team, 0), start)
				}
			}
			head := q.Heads()[0].Request
			const expected = 100
			actual := core.Tokens(50)
			if head.Team == "a" {
				actual = core.Tokens(1 + int64(n*7919)%largest)
			}
			q.Serve(head.Generation, expected)
			q.Charge(head.Team, actual-expected)
			served[head.Team] += float64(actual)
		}
		require.InEpsilon(t, float64(weightA)/float64(weightB), served["a"]/served["b"], 0.1)
	})
}

func TestPriorityGoesBeforeFairness(t *testing.T) {
	q := NewQueue()
	q.Push(request(1, "a", 5), start)
	q.Charge("b", 1_000_000)
	q.Push(request(2, "b", 1), start)
	require.Equal(t, core.TeamID("b"), q.Heads()[0].Request.Team)
}

func TestIdleTeamSavesNoCredit(t *testing.T) {
	q := NewQueue()
	q.Push(request(999, "idle", 0), start)
	q.Serve(request(999, "idle", 0).Generation, 1)
	for n := range uint64(100) {
		q.Push(request(n, "busy", 0), start)
		q.Serve(request(n, "busy", 0).Generation, 1000)
	}
	q.Push(request(1000, "idle", 0), start)
	q.Push(request(1001, "busy", 0), start)
	q.Serve(request(1000, "idle", 0).Generation, 2000)
	q.Push(request(1002, "idle", 0), start)
	require.Equal(t, core.TeamID("busy"), q.Heads()[0].Request.Team)
}

func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		waiting := map[uint64]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.Uint64Range(0, 20).Draw(t, "n")
			d := request(n, core.TeamID(rune('a'+n%3)), core.Priority(n%2))
			if rapid.Bool().Draw(t, "push") {
				q.Push(d, start)
				waiting[n] = true
			} else {
				require.Equal(t, waiting[n], q.Remove(d.Generation) != nil)
				delete(waiting, n)
			}
			require.Equal(t, len(waiting), q.Len())
			require.Len(t, q.Filter(func(*Entry) bool { return true }), len(waiting))
		}
	})
}

func TestPositionCountsPriorityAndShare(t *testing.T) {
	q := NewQueue()
	for n := range uint64(10) {
		q.Push(request(n, "large", 1), start)
	}
	q.Push(request(20, "urgent", 0), start)
	require.Equal(t, 12, q.Position("large", 1))
	require.Equal(t, 3, q.Position("small", 1))
	require.Equal(t, 2, q.Position("urgent", 0))
}
