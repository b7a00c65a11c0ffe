package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/responsehead"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// headTimeout limits an exchange whose failure must not wait for the end of the request. It is not a check of speed.
const headTimeout = 20 * time.Second

// respond starts a stand-in that sends the given responses in order and keeps their connections open.
func respond(t *testing.T, responses ...string) string {
	t.Helper()
	server, err := rawhttp.Start(responses...)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// requireMalformed checks that exchanges fail as soon as the heads of their responses have arrived.
func requireMalformed(t *testing.T, responses ...string) {
	t.Helper()
	address := respond(t, responses...)
	for _, response := range responses {
		ctx, cancel := context.WithTimeout(context.Background(), headTimeout)
		x, err := open(ctx, address, requestTo(address), nil)
		cancel()
		if err == nil {
			status := x.response.StatusCode
			x.close()
			require.Failf(t, "accepted", "status %d of %q", status, response)
		}
		var broken *ExchangeError
		require.ErrorAs(t, err, &broken, "%q", response)
		require.Equal(t, phaseRequest, broken.Phase)
		var malformed *responsehead.MalformedError
		require.ErrorAs(t, err, &malformed, "%q", response)
	}
}

// TestInvalidStatus guards against a response without a valid status that is skipped as an informational one, so that
// the response is read from its body or waited for until the deadline, and against one that reaches the caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		for name, body := range map[string]string{"text": "ok", "response": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"} {
			t.Run(status+" "+name, func(t *testing.T) {
				requireMalformed(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n"+body)
			})
		}
	}
}

// TestValidStatus guards against a check that fails sound responses.
func TestValidStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 500 \xe9", "HTTP/1.1 599 x y"} {
		for _, end := range []string{"\r\n", "\n"} {
			response := strings.ReplaceAll("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+line+"\r\nA:b\r\nContent-Length:2\r\nEmpty:\r\n\r\nok", "\r\n", end)
			address := respond(t, response)
			x, err := open(context.Background(), address, requestTo(address), nil)
			require.NoError(t, err, "%q", response)
			got, err := x.readResponse(ResponseInfo{}, &bufferBudget{})
			x.close()
			require.NoError(t, err, "%q", response)
			require.Equal(t, "ok", string(got.body), "%q", response)
			require.Equal(t, http.Header{"A": {"b"}, "Content-Length": {"2"}, "Empty": {""}}, got.header)
		}
	}
}

// TestInvalidFieldName guards against a head whose field names hold a blank or a control byte. A field that says where
// the body ends is overlooked then, and a line feed ends the head in its middle, so that the caller gets another body
// than the target's.
func TestInvalidFieldName(t *testing.T) {
	names := []string{"Content-Type", "Content-Length", "Transfer-Encoding"}
	values := []string{"text/plain", "2", "chunked"}
	invalid := []byte{' ', 0x7f}
	for b := range byte(' ') {
		invalid = append(invalid, b)
	}
	for i, name := range names {
		for _, b := range invalid {
			t.Run(fmt.Sprintf("%s %q", name, b), func(t *testing.T) {
				var responses []string
				for at := range len(name) + 1 {
					inserted, replaced := name[:at]+string(b)+name[at:], name[:at]+string(b)+name[min(at+1, len(name)):]
					for _, invalidName := range []string{inserted, replaced} {
						responses = append(responses, "HTTP/1.1 200 OK\r\nDate: now\r\n"+invalidName+": "+values[i]+"\r\nServer: test\r\n\r\nok")
					}
				}
				requireMalformed(t, responses...)
			})
		}
	}
}

// TestEncodingInOldVersion guards against a body that holds the sizes of its chunks, where the parser overlooks the
// Transfer-Encoding of a response that says HTTP/1.0.
func TestEncodingInOldVersion(t *testing.T) {
	for _, length := range []string{"", "Content-Length: 12\r\n"} {
		requireMalformed(t, "HTTP/1.0 200 OK\r\n"+length+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	}
}
