package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// requestMessages returns the messages that one request causes between its entry host and
// the owner of its target.
func requestMessages() map[string]message.Message {
	ticket := core.Ticket{
		Generation: generation, Owner: "oslo-a-1", Target: "manus-12", Address: "10.10.1.112:8000",
		Incarnation: "0c1f1a52-6f7e-4b8e-9d4b-2f6f5b1c9a10", Fence: 12, ValidFor: 5 * time.Second,
	}
	return map[string]message.Message{
		"request": message.TicketRequest{Request: core.TicketRequest{
			Generation: generation, EntryHost: "oslo-b-2", Team: "narrators", Pool: "model/manus-llm", Class: "interactive",
			PromptTokens: 300, MaxTokens: 1000, PrefixHash: 1 << 60, QueueBudget: 20 * time.Second,
		}},
		"grant":    message.TicketGrant{Ticket: ticket},
		"progress": message.Progress{Streams: []core.Progress{{Generation: generation, Output: 120}}},
		"close": message.TicketClosed{Outcome: core.Outcome{
			Generation: generation, Target: "manus-12", Result: core.Completed, Output: 210, FirstTokenMS: 300, WorstTokenGapMS: 60,
		}},
	}
}

// TestRequestMessagesAreSmall limits the bytes of control messages for one request.
func TestRequestMessagesAreSmall(t *testing.T) {
	bounds := map[string]int{"request": 110, "grant": 120, "progress": 30, "close": 50}
	for name, m := range requestMessages() {
		frame, err := encodeFrame(uint64(m.MessageKind()), m)
		require.NoError(t, err)
		t.Logf("%s: %d bytes", name, len(frame))
		require.LessOrEqual(t, len(frame), bounds[name], name)
	}
}
