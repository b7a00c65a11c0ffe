package callerapi

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestServiceResponseResetDuringUpload guards against a part of a response that reaches the caller, or is kept for its
// key, as a complete one: the service resets the connection while the call is being sent.
func TestServiceResponseResetDuringUpload(t *testing.T) {
	table := platformserver.New(platformserver.Options{})
	tableServer := httptest.NewServer(table)
	t.Cleanup(func() { tableServer.Close(); table.Close() })
	booking, err := rawhttp.StartResetting("HTTP/1.1 200 OK\r\n\r\npart", rawhttp.ResponseTime)
	require.NoError(t, err)
	t.Cleanup(booking.Close)
	server := newBookingServer(t, tableServer.Listener.Addr().String(), booking.Address())
	body := strings.Repeat("x", maxBodyBytes)
	complete := 0
	for i := range 20 {
		for _, headers := range [][]string{{"Idempotency-Key", fmt.Sprintf("k%d", i)}, nil} {
			got := call(t, server, "POST", "/services/booking/book", body, headers...)
			if text := readAll(t, got); got.StatusCode == 200 {
				complete++
			} else {
				require.Equal(t, 502, got.StatusCode)
				require.Contains(t, text, `"run":"unknown"`)
			}
		}
	}
	require.Zero(t, complete)
	require.Equal(t, 2*20, booking.Requests())
}
