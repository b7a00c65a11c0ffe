package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// formerPlacementRequest is message.PlacementRequest as it was before it had a prefix.
type formerPlacementRequest struct {
	Number          uint64            `cbor:"1,keyasint"`
	Pool            core.PoolID       `cbor:"2,keyasint"`
	Request         string            `cbor:"3,keyasint"`
	DataCentre      core.DataCentreID `cbor:"4,keyasint"`
	Memory          core.Tokens       `cbor:"5,keyasint"`
	WantsCopy       bool              `cbor:"6,keyasint,omitempty"`
	Avoid           []core.TargetID   `cbor:"7,keyasint,omitempty"`
	RunningOn       core.TargetID     `cbor:"8,keyasint,omitempty"`
	Prompt          core.Tokens       `cbor:"9,keyasint,omitempty"`
	NeedsGrant      bool              `cbor:"11,keyasint,omitempty"`
	MayWait         bool              `cbor:"12,keyasint,omitempty"`
	TransfersMemory bool              `cbor:"10,keyasint,omitempty"`
	Team            core.TeamID       `cbor:"13,keyasint,omitempty"`
	Priority        core.Priority     `cbor:"14,keyasint,omitempty"`
	TimeLeft        time.Duration     `cbor:"15,keyasint,omitempty"`
	MaxWait         time.Duration     `cbor:"16,keyasint,omitempty"`
	Content         uint64            `cbor:"17,keyasint,omitempty"`
}

// Guards against larger messages where prefixes are not weighed, and against hosts of the former build that cannot read
// the request while a deployment is upgraded.
func TestPlacementRequestWithAndWithoutPrefix(t *testing.T) {
	former := formerPlacementRequest{Number: 8, Pool: "p", Request: "9c41", Memory: 3500, Avoid: []core.TargetID{"t2"}, Prompt: 3000, MayWait: true, Team: "a", Content: 7}
	current := message.PlacementRequest{Number: 8, Pool: "p", Request: "9c41", Memory: 3500, Avoid: []core.TargetID{"t2"}, Prompt: 3000, MayWait: true, Team: "a", Content: 7}
	want, err := encoder.Marshal(former)
	require.NoError(t, err)
	got, err := encoder.Marshal(current)
	require.NoError(t, err)
	require.Equal(t, want, got)

	current.Prefix = []core.PrefixPart{{Key: 1 << 63, Tokens: 79}, {Key: 1 << 62, Tokens: 3000}}
	extended, err := encoder.Marshal(current)
	require.NoError(t, err)
	require.LessOrEqual(t, len(extended)-len(want), 40, "bytes for two parts")
	var read formerPlacementRequest
	require.NoError(t, decoder.Unmarshal(extended, &read))
	require.Equal(t, former, read)
}
