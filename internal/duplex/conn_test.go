package duplex

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/tools/standin/rawhttp"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); _ = peer.Close() })
	return New(conn), peer.(*net.TCPConn)
}

// respond sends a response from the peer.
func respond(t *testing.T, peer net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(peer, text)
	require.NoError(t, err)
}

// awaitUpload waits until the first byte has reached the peer.
func awaitUpload(t *testing.T, peer net.Conn) {
	t.Helper()
	_, err := peer.Read(make([]byte, 1))
	require.NoError(t, err)
}

// reset closes the peer's end with a TCP reset.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
}

// TestResetMetByWrite guards against a response that looks complete though its connection was reset: the system reports
// the reset to one call only, and that is a write.
func TestResetMetByWrite(t *testing.T) {
	conn, peer := connect(t)
	respond(t, peer, "part")
	reset(t, peer)
	var err error
	for err == nil {
		_, err = conn.Write([]byte("x"))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	got, err := io.ReadAll(conn)
	require.Equal(t, "part", string(got))
	var broken *WriteError
	require.ErrorAs(t, err, &broken)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, conn.Close())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestResetDuringWrite guards against the same where a write waits as the connection is reset, so that either call may
// meet the reset.
func TestResetDuringWrite(t *testing.T) {
	for range 200 {
		conn, peer := connect(t)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, rawhttp.UploadBytes))
			written <- err
		}()
		awaitUpload(t, peer)
		respond(t, peer, "part")
		reset(t, peer)
		got, err := io.ReadAll(conn)
		require.Equal(t, "part", string(got))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Error(t, <-written)
	}
}

// TestOrderlyClose guards against a complete response that looks cut off because its target has not read the whole request.
func TestOrderlyClose(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":         (*net.TCPConn).Close, // the system resets the connection when more of the request arrives
		"closed halfway": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				conn, peer := connect(t)
				respond(t, peer, "whole")
				require.NoError(t, end(peer))
				written := make(chan error, 1)
				go func() {
					_, err := io.Copy(conn, bytes.NewReader(make([]byte, rawhttp.UploadBytes)))
					written <- err
				}()
				got, err := io.ReadAll(conn)
				require.NoError(t, err)
				require.Equal(t, "whole", string(got))
				require.Error(t, <-written, "the rest of the request was waited for")
			}
		})
	}
}

// TestCloseBesideRead guards against a reset that is not reported because the writer closes the connection after it.
func TestCloseBesideRead(t *testing.T) {
	for range 200 {
		conn, peer := connect(t)
		closed := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, rawhttp.UploadBytes))
			closed <- errors.Join(err, conn.Close())
		}()
		awaitUpload(t, peer)
		respond(t, peer, "part")
		reset(t, peer)
		_, err := io.ReadAll(conn)
		require.Error(t, err)
		require.Error(t, <-closed)
	}
}

// countingConn counts the writes to a connection that drops what is written.
type countingConn struct {
	net.Conn
	writes int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes++
	return len(p), nil
}

// TestLargeBodyIsWrittenInLargeParts guards against a request that takes a system call for each few kilobytes of its body:
// net/http writes it through a bufio.Writer.
func TestLargeBodyIsWrittenInLargeParts(t *testing.T) {
	counting := &countingConn{}
	buffered := bufio.NewWriter(New(counting))
	_, err := buffered.WriteString("head")
	require.NoError(t, err)
	_, err = io.Copy(buffered, io.LimitReader(rand.Reader, 1<<20))
	require.NoError(t, err)
	require.NoError(t, buffered.Flush())
	require.LessOrEqual(t, counting.writes, 40)
}
