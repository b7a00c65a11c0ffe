package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// emptyView is a Controller that has an empty view.
type emptyView struct{ Controller }

func (emptyView) View() *edgecontrol.View { return &edgecontrol.View{} }

// signedCodec is a Codec without headers that takes all responses for signed.
type signedCodec struct{ Codec }

func (signedCodec) EncodeAttempt(http.Header, Attempt) {}

func (signedCodec) DecodeResponse(int, http.Header) ResponseInfo { return ResponseInfo{Signed: true} }

// TestStopAndWait guards against a request that is sent to another engine while the connection to the former one is
// still open, whatever that one is doing.
func TestStopAndWait(t *testing.T) {
	for name, response := range map[string]string{
		"no head":         "",
		"in an event":     "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\nid: 2",
		"event not taken": "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n",
		"head not taken":  "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			requested, closed := make(chan struct{}), make(chan struct{})
			address := listen(t, func(conn net.Conn) {
				defer close(closed)
				buffer := make([]byte, 4096)
				if _, err := conn.Read(buffer); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				close(requested)
				_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
			})
			clock := func() time.Duration { return time.Hour }
			h := &requestHandler{
				gateway: New(Options{Controller: emptyView{}, Codec: signedCodec{}, Clock: clock}), r: httptest.NewRequest(http.MethodPost, "/", nil),
				log: &log.Logger{Handler: discard.New()}, arrived: clock(), deadline: time.Hour,
			}
			target := placement.Candidate{Target: core.TargetID("i-1"), Address: address}
			u := h.startUpstream(t.Context(), edgecontrol.Assignment{Choice: placement.Choice{Target: target}}, Attempt{})
			<-requested
			if name == "in an event" || name == "event not taken" {
				require.Equal(t, upstreamOpened, (<-u.messages).kind)
			}
			u.stopAndWait()
			select {
			case <-u.done:
			default:
				t.Fatal("still at work")
			}
			<-closed
		})
	}
}
