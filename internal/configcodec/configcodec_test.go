package configcodec

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/settings"
)

func example(t testing.TB) *core.Config {
	t.Helper()
	config, err := settings.LoadDeclarations("../../examples/stemmebu/declarations.jsonc")
	require.NoError(t, err)
	completed := core.CompleteConfig(config, &core.Config{})
	completed.Revision = 3
	completed.Plans = []core.PlanID{"p-1", "p-2", "p-3"}
	return completed
}

func TestBodyRoundTrip(t *testing.T) {
	config := example(t)
	body, err := Encode(config)
	require.NoError(t, err)
	decoded, err := Decode(body)
	require.NoError(t, err)
	require.Equal(t, config, decoded)
}

func TestDecodeRejectsInvalidBodies(t *testing.T) {
	config := example(t)
	config.Targets[0].Address = "somewhere:80"
	faulty, err := Encode(config)
	require.NoError(t, err)
	_, err = Decode(faulty)
	faults := &configcheck.FaultsError{}
	require.ErrorAs(t, err, &faults)

	bomb := &bytes.Buffer{}
	writer := gzip.NewWriter(bomb)
	_, err = writer.Write(append([]byte(`{"revision":1, "plans":["`), bytes.Repeat([]byte("x"), maxDecodedBytes)...))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	for _, body := range [][]byte{nil, []byte("{}"), faulty[:len(faulty)/2], bomb.Bytes()} {
		_, err := Decode(body)
		format := &FormatError{}
		require.ErrorAs(t, err, &format)
	}
	_, err = Decode(make([]byte, MaxBytes+1))
	size := &SizeError{}
	require.ErrorAs(t, err, &size)
}

func TestSealDependsOnKeyAndBody(t *testing.T) {
	seal := Seal("key", []byte("body"))
	require.True(t, VerifySeal("key", []byte("body"), seal))
	require.False(t, VerifySeal("key", []byte("bodY"), seal))
	require.False(t, VerifySeal("keY", []byte("body"), seal))
	require.False(t, VerifySeal("key", []byte("body"), ""))
	require.False(t, VerifySeal("key", []byte("body"), "zz"))
}

func TestHeadRoundTrip(t *testing.T) {
	head := revision.Head{Revision: 4, Object: "config/4-p", Plan: "p", AcceptedAt: time.Unix(9, 0).UTC()}
	value, err := EncodeHead(head)
	require.NoError(t, err)
	decoded, err := DecodeHead(core.Row{Version: 1, Value: value})
	require.NoError(t, err)
	require.Equal(t, head, decoded)
	none, err := DecodeHead(core.Row{})
	require.NoError(t, err)
	require.Zero(t, none)
	_, err = DecodeHead(core.Row{Version: 1, Value: []byte("x")})
	format := &FormatError{}
	require.ErrorAs(t, err, &format)
}

// fullSize returns a configuration of the size expected within two years.
func fullSize(t testing.TB) *core.Config {
	config := example(t)
	base := config.Targets[0]
	for i := range 920 {
		base.ID = core.TargetID(fmt.Sprintf("runner-%d", i))
		base.Address = fmt.Sprintf("10.50.%d.%d:8000", i/250, i%250+1)
		config.Targets = append(config.Targets, base)
	}
	for i := range 2300 {
		digest := sha256.Sum256(fmt.Append(nil, i))
		team := core.Team{ID: core.TeamID(fmt.Sprintf("team-%d", i)), KeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 10, Class: "interactive"}
		config.Teams = append(config.Teams, team)
	}
	return config
}

func BenchmarkBodyAtFullSize(b *testing.B) {
	config := fullSize(b)
	body, err := Encode(config)
	require.NoError(b, err)
	for b.Loop() {
		_, err := Decode(body)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(body)), "bytes/body")
}
