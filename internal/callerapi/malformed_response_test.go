package callerapi

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// malformedResponses are responses whose heads are not valid HTTP. net/http accepts all but the control byte.
var malformedResponses = map[string]string{
	"status 000":       "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":       "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank in name":    "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank before one": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nDate: now\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"control byte":     "HTTP/1.1 200 OK\r\nTransfer\x01Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in 1.0":    "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"line feed before": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
}

// TestMalformedServiceResponse guards against a response with a malformed head that reaches the caller, is repeated
// to it, or closes its connection: the call may have run, and its outcome is not known.
func TestMalformedServiceResponse(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			table := platformserver.New(platformserver.Options{})
			tableServer := httptest.NewServer(table)
			t.Cleanup(func() { tableServer.Close(); table.Close() })
			booking, err := rawhttp.Start(response)
			require.NoError(t, err)
			t.Cleanup(booking.Close)
			server := newBookingServer(t, tableServer.Listener.Addr().String(), booking.Address())
			for range 2 {
				got := call(t, server, "POST", "/services/booking/book", "slot 9", "Idempotency-Key", "k")
				require.Equal(t, 502, got.StatusCode)
				require.Contains(t, readAll(t, got), `"run":"unknown"`)
			}
			require.Equal(t, 1, booking.Requests())
			got := call(t, server, "GET", "/services/booking/slots", "")
			require.Equal(t, 502, got.StatusCode)
			require.Contains(t, readAll(t, got), `"run":"unknown"`)
		})
	}
}
