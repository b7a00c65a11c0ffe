package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/responsehead"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// upload returns a request to an address with a body of rawhttp.UploadBytes.
func upload(address string) *http.Request {
	request := requestTo(address)
	request.Method, request.ContentLength = http.MethodPost, rawhttp.UploadBytes
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", rawhttp.UploadBytes)))
	return request
}

// TestResponseResetDuringUpload guards against a part of a response that counts as a complete one: its connection is reset
// while the request is being written, and the write takes the failure of the connection from the read.
func TestResponseResetDuringUpload(t *testing.T) {
	for name, head := range map[string]string{"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, pause := range []time.Duration{0, rawhttp.ResponseTime} {
			t.Run(fmt.Sprintf("%s, %s after the response", name, pause), func(t *testing.T) {
				server, err := rawhttp.StartResetting(head+"part", pause)
				require.NoError(t, err)
				t.Cleanup(server.Close)
				complete := 0
				for range 50 {
					x, err := open(context.Background(), server.Address(), upload(server.Address()), nil)
					if err == nil {
						_, err = x.readResponse(ResponseInfo{}, &bufferBudget{})
						x.close()
					}
					if err == nil {
						complete++
						continue
					}
					var broken *ExchangeError
					require.ErrorAs(t, err, &broken)
				}
				require.Zero(t, complete)
			})
		}
	}
}

// TestMalformedHeadDuringUpload guards against a response with a malformed head that is accepted because it arrives while
// the request is being written.
func TestMalformedHeadDuringUpload(t *testing.T) {
	for name, response := range rawhttp.MalformedResponses() {
		t.Run(name, func(t *testing.T) {
			server, err := rawhttp.StartResetting(response, rawhttp.ResponseTime)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			for range 5 {
				x, err := open(context.Background(), server.Address(), upload(server.Address()), nil)
				if err == nil {
					x.close()
				}
				var malformed *responsehead.MalformedError
				require.ErrorAs(t, err, &malformed)
			}
		})
	}
}

// TestOrderlyEndDuringUpload guards against a complete response that counts as cut off because its target ends the
// connection in order without reading the whole request, and against a host that goes on sending the request.
func TestOrderlyEndDuringUpload(t *testing.T) {
	tested, end := context.WithCancel(context.Background())
	defer end()
	for name, c := range map[string]struct{ response, broken string }{
		"whole response": {"HTTP/1.1 200 OK\r\n\r\nok", ""},
		"no response":    {"", phaseRequest},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, c.response)
				_ = conn.(*net.TCPConn).CloseWrite()
				<-tested.Done()
			})
			for range 20 {
				x, err := open(context.Background(), address, upload(address), nil)
				if c.broken != "" {
					var broken *ExchangeError
					require.ErrorAs(t, err, &broken)
					require.Equal(t, c.broken, broken.Phase)
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
					continue
				}
				require.NoError(t, err)
				got, err := x.readResponse(ResponseInfo{}, &bufferBudget{})
				x.close()
				require.NoError(t, err)
				require.Equal(t, "ok", string(got.body))
			}
		})
	}
}
