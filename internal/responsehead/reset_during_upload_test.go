package responsehead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestResetDuringUpload guards against clients that take a part of a response for a complete one: it ends with its
// connection, which is reset while the request is being sent.
func TestResetDuringUpload(t *testing.T) {
	server, err := rawhttp.StartResetting("HTTP/1.1 200 OK\r\n\r\npart", rawhttp.ResponseTime)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client, _ := newClient(t)
	body := strings.Repeat("x", rawhttp.UploadBytes)
	complete := 0
	for range 100 {
		response, err := client.Post("http://"+server.Address(), "text/plain", strings.NewReader(body))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
		}
		if err == nil {
			complete++
		}
	}
	require.Zero(t, complete)
}

// TestOrderlyEndDuringUpload guards against a complete response that counts as cut off because its server ends the
// connection in order without reading the whole request.
func TestOrderlyEndDuringUpload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, _ := newClient(t)
	body := strings.Repeat("x", rawhttp.UploadBytes)
	for range 20 {
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.(*net.TCPConn).CloseWrite()
			accepted <- conn
		}()
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader(body))
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(got))
		require.NoError(t, response.Body.Close())
		require.NoError(t, (<-accepted).Close())
	}
}
