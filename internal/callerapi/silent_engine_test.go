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

// fastTickerClock is the real clock with tickers that are 50 times as fast, so that a
// silent engine is detected soon.
type fastTickerClock struct{ clockwork.Clock }

func (c fastTickerClock) NewTicker(d time.Duration) clockwork.Ticker {
	return c.Clock.NewTicker(d / 50)
}

// TestSilentEngine guards against an incomplete stream when an engine stops sending in the
// middle of it without an error on any connection. The relay reconnects after a stall and
// reruns the generation after a freeze; either way the caller gets the complete text.
func TestSilentEngine(t *testing.T) {
	for _, silence := range []fault.Spec{
		{Kind: engineserver.FaultStall, DelayMS: 3_600_000, Count: 1},
		{Kind: engineserver.FaultFreeze},
	} {
		t.Run(string(silence.Kind), func(t *testing.T) {
			first, second := startSlowEngine(t), startSlowEngine(t)
			client := engine.NewClient(&http.Client{Transport: relay.NewTransport()})
			controller := &standInController{addresses: []string{first, second}, engines: client}
			controller.view = testView()
			controller.view.Catalog.Target("t1").Address = first
			server := newTestServer(t, controller, relay.EngineClient{Client: client}, fastTickerClock{clockwork.NewRealClock()})
			body := call(t, server, "POST", completionsURL, longStreamRequestBody).Body
			firstByte := make([]byte, 1)
			_, err := io.ReadFull(body, firstByte)
			require.NoError(t, err)
			injectFault(t, "http://"+first, silence)
			text, ids, done := readEvents(t, io.MultiReader(strings.NewReader(string(firstByte)), body))
			tokens, _, err := engineserver.ExpectedOutput("v1", "draft [[length=40]]", 7, 100)
			require.NoError(t, err)
			require.Len(t, ids, 40)
			require.True(t, done)
			require.Equal(t, strings.Join(tokens, ""), text)
		})
	}
}

// startSlowEngine returns the address of a stand-in engine that is slow enough to be still
// streaming after a test has read the first byte.
func startSlowEngine(t *testing.T) string {
	t.Helper()
	stand := engineserver.New(engineserver.Options{Model: "m", StepBase: 10 * time.Millisecond, StepPerStream: time.Microsecond, PrefillPerToken: time.Microsecond})
	server := httptest.NewServer(stand)
	t.Cleanup(func() { stand.Close(); server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}
