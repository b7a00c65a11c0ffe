package callerapi

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestMalformedServiceResponse guards against a response with a malformed head that reaches the caller, is repeated
// to it, or closes its connection: the call may have run, and its outcome is not known.
func TestMalformedServiceResponse(t *testing.T) {
	for name, response := range rawhttp.MalformedResponses() {
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
