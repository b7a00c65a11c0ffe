package callerapi

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/relay"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
)

// hastyClock is the real clock with quick tickers, so that silence is noticed soon.
type hastyClock struct{ clockwork.Clock }

func (c hastyClock) NewTicker(d time.Duration) clockwork.Ticker { return c.Clock.NewTicker(d / 50) }

// TestSilentStandInEngine has an engine go silent in the middle of an answer, without an
// error on any connection. A stall is mended by a reconnection, a freeze by a rerun.
func TestSilentStandInEngine(t *testing.T) {
	for _, silence := range []fault.Order{
		{Kind: engineserver.FaultStall, DelayMS: 3_600_000, Count: 1},
		{Kind: engineserver.FaultFreeze},
	} {
		t.Run(string(silence.Kind), func(t *testing.T) {
			first, second := slowEngine(t), slowEngine(t)
			client := engine.NewClient(&http.Client{Transport: relay.NewTransport()})
			waiting := &standInDesk{addresses: []string{first, second}, engines: client}
			waiting.view = testView()
			waiting.view.Catalog.Target("t1").Address = first
			server := newTestServer(t, waiting, relay.EngineClient{Client: client}, hastyClock{clockwork.NewRealClock()})
			body := call(t, server, "POST", plainURL, longBody).Body
			begun := make([]byte, 1)
			_, err := io.ReadFull(body, begun)
			require.NoError(t, err)
			order(t, "http://"+first, silence)
			text, ids, done := readEvents(t, io.MultiReader(strings.NewReader(string(begun)), body))
			tokens, _, err := engineserver.Answer("v1", "draft [[length=40]]", 7, 100)
			require.NoError(t, err)
			require.Len(t, ids, 40)
			require.True(t, done)
			require.Equal(t, strings.Join(tokens, ""), text)
		})
	}
}

// slowEngine returns the address of a stand-in whose answer is still running when a test
// has read its beginning.
func slowEngine(t *testing.T) string {
	t.Helper()
	stand := engineserver.New(engineserver.Options{Model: "m", StepBase: 10 * time.Millisecond, StepPerStream: time.Microsecond, PrefillPerToken: time.Microsecond})
	server := httptest.NewServer(stand)
	t.Cleanup(func() { stand.Close(); server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}
