package peer

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

var generation = core.GenerationID{1, 2, 0xff}

// samples contains a message of every kind, with its fields set.
var samples = []message.Message{
	message.TicketRequest{Request: core.TicketRequest{Generation: generation, EntryHost: "oslo-a-1", Team: "producers", Pool: "model/manus",
		Class: "interactive", Priority: 1, PromptTokens: 20, MaxTokens: 300, PrefixHash: 1 << 63, QueueBudget: time.Second, Avoid: "t9"}},
	message.TicketGrant{Ticket: core.Ticket{Generation: generation, Owner: "oslo-a-2", Target: "t1", Address: "127.0.0.1:9",
		Incarnation: "i1", Fence: 7, Priority: 2, ValidFor: 3 * time.Second}},
	message.TicketRefusal{Generation: generation, Refusal: core.Refusal{Kind: core.RefusedQueueFull, Message: "full", Run: core.NotRun, RetryAfter: time.Second}},
	message.TicketClosed{Outcome: core.Outcome{Generation: generation, Target: "t1", Result: core.Completed, Output: 210, FirstTokenMS: 80, WorstTokenGapMS: 40}},
	message.Progress{Streams: []core.Progress{{Generation: generation, Output: 12}}},
	message.PoolCapacity{Pool: "model/manus", DataCentre: "oslo-a", Headroom: 9000, FreeStreams: 3, Queued: 1, Targets: 2},
	message.Heartbeat{Host: "oslo-a-1", Session: "s1", Revision: 8, Leaving: true, PlatformReached: true, Degraded: true},
	message.ConfigRequest{Above: 7},
	message.ConfigBody{Revision: 8, Body: []byte(`{"revision":8}`)},
	message.RelayRequest{ID: 5, Transaction: core.Transaction{Conditions: []core.Condition{{Key: "lease/a/b", Version: 4}},
		Writes: []core.Write{{Key: "lease/a/b", Value: []byte("{}")}, {Key: "gone", Value: nil}}}},
	message.RelayResponse{ID: 5, Committed: true, Conflict: true, Version: 9},
	message.TicketRevoked{Generation: generation, Target: "t1"},
	message.HeldTickets{Held: []core.GenerationID{generation}},
	message.TargetLoads{Targets: []message.TargetLoad{{Target: "manus-1", Limit: 8, Streams: 3, Memory: 900, Forecast: 1200}}},
	message.HubRequest{SentAt: 5 * time.Second, Subscription: 3, Revision: 9, RegistryDigest: 77, HostCount: 2, Rollouts: []core.RolloutReport{{Pool: "p", Order: core.StorePosition{Era: 1, Revision: 9}, Incarnation: 5, Lease: 4, Seen: 90, Used: 8,
		Routes: map[core.RouteID]uint64{"r": 90}, Cells: []core.RolloutCell{{Route: "r", Remote: true, New: true, Window: 3, Ended: 8, Failed: 1, Times: []uint32{0, 7}, Gaps: []uint32{2}}}}}},
	message.HubResponse{SentAt: 5 * time.Second, AgeKnown: true, Age: 40 * time.Millisecond, LastSent: 4, Quotas: []core.RolloutQuota{{Pool: "p", Order: core.StorePosition{Era: 1, Revision: 9}, Lease: 5, Granted: 12,
		Shares: map[core.RouteID]float64{"r": 0.1}, DefaultShare: 0.2}}},
	message.HubUpdate{Number: 4, First: true, Registry: message.NewShared([]core.Registration{{Target: "t3", Pool: "p"}}), Config: message.NewShared(&core.RoutingConfig{Revision: 9, Routes: []core.Route{{ID: "r", Prefix: "/x/",
		Splits: []core.Split{{Pool: "p", Weight: 90}}, Timeout: time.Second}}, Pools: []core.PoolSpec{{ID: "p", Engine: &core.EngineSpec{Slots: 24}}},
		Teams: []core.TeamKeys{{Team: "t", Keys: []string{"k"}}}}), HasEvacuated: true, Evacuated: []core.DataCentreID{"oslo-a"},
		Registrations:  []core.Registration{{Target: "t1", Pool: "p", Address: "127.0.0.1:9", Leaving: true, Born: 7, Revision: 12}},
		ConfigRevision: 11, RegistryRevision: 12, HasRollouts: true, Rollouts: []core.RolloutRecord{{Pool: "p", Sequence: 4, Phase: core.RolloutProbing, Current: "v1", To: "v2", Order: core.StorePosition{Era: 1, Revision: 9},
			StartedAt: time.Hour, Decider: "h/7", Reserved: 40, Carried: 20, Seen: 90, Used: 8, Judged: 7, Failed: 1, Reason: "x"}},
		Removed: []core.TargetID{"t2"}, Hosts: []core.Host{{ID: "h", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:8", Capacity: 0.4}}},
	message.HostLoad{Targets: []message.HostTargetLoad{{Target: "t1", Requests: 2, Memory: 7000, Copies: 3000, PendingPrefill: 2000}}, LastPlacement: 8},
	message.PlacementRequest{Number: 8, Pool: "p", Request: "9c41", DataCentre: "oslo-a", Memory: 3500, WantsCopy: true, Avoid: []core.TargetID{"t2"}, RunningOn: "t1", Prompt: 3000, TransfersMemory: true, NeedsGrant: true, MayWait: true, Versioned: true, Version: "v2", Probe: true,
		Prefix: []core.PrefixPart{{Key: 1 << 63, Tokens: 350}, {Key: 5, Tokens: 2200}}},
	message.PlacementResponse{Number: 8, Target: "t1", Copy: "t3", AtCapacity: true, ExpectedCached: 350},
	message.TargetLimits{Limits: []core.TargetLimit{{Target: "t", Rate: 2.6, Age: time.Second, ByRejection: true, Ended: true, EndedAge: time.Millisecond}}},
	message.PartEvidence{Parts: []core.PartEvidence{{Part: 7, Crashes: []core.EngineCrash{{ID: 1 << 63, Age: time.Second, Engine: 1 << 62}}, Sound: true, SoundID: 9, SoundAge: time.Minute}}},
}

func TestRoundTripOfEveryKind(t *testing.T) {
	seen := map[message.Kind]bool{}
	for _, want := range samples {
		seen[want.MessageKind()] = true
		data, err := encodeFrame(uint64(want.MessageKind()), want)
		require.NoError(t, err)
		f, err := decodeFrame(data)
		require.NoError(t, err)
		got, err := decodeMessage(f)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Len(t, seen, len(bodyDecoders), "a kind has no sample")
}

func TestDecodeRefuses(t *testing.T) {
	cases := []struct {
		name string
		hex  string
		want any
	}{
		{"nothing", "", new(*FrameError)},
		{"a number", "07", new(*FrameError)},
		{"one element", "8107", new(*FrameError)},
		{"three elements", "8307a000", new(*FrameError)},
		{"bytes after the frame", "8207a000", new(*FrameError)},
		{"indefinite length", "9f07a0ff", new(*FrameError)},
		{"tagged body", "8207c100", new(*FrameError)},
		{"duplicate key", "8208a201010102", new(*FrameError)},
		{"negative kind", "8220a0", new(*FrameError)},
		{"kind of a later version", "8218c8a0", new(*UnknownKindError)},
		{"kind above the message range", "82190107a0", new(*UnknownKindError)},
		{"body of another shape", "820701", new(*FrameError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data, err := hex.DecodeString(c.hex)
			require.NoError(t, err)
			f, err := decodeFrame(data)
			if err == nil {
				_, err = decodeMessage(f)
			}
			require.ErrorAs(t, err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		data, err := encodeFrame(uint64(m.MessageKind()), m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			return
		}
		m, err := decodeMessage(decoded)
		if err != nil {
			return
		}
		again, err := encodeFrame(uint64(m.MessageKind()), m)
		require.NoError(t, err, "a decoded message can be encoded")
		f, err := decodeFrame(again)
		require.NoError(t, err)
		same, err := decodeMessage(f)
		require.NoError(t, err)
		require.Equal(t, m, same)
	})
}
