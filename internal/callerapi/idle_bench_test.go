package callerapi

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/relay"
)

// BenchmarkIdleStream reports the memory of a stream that waits for its next token. The
// engine runs in one goroutine and the callers in none, so that nearly all of the memory
// belongs to the host's ends of the two connections.
func BenchmarkIdleStream(b *testing.B) {
	const streams = 400
	address := startRawEngine(b)
	for range b.N {
		client := engine.NewClient(&http.Client{Transport: relay.NewTransport()})
		handlerAddress := serve(b, newBenchHandler(addressedEngines{relay.EngineClient{Client: client}, address}, streams))
		heap, stack := memory()
		for range streams {
			openStream(b, handlerAddress)
		}
		heapAfter, stackAfter := memory()
		b.ReportMetric(float64(heapAfter-heap)/streams, "heap-bytes/stream")
		b.ReportMetric(float64(stackAfter-stack)/streams, "stack-bytes/stream")
	}
}

// addressedEngines starts every stream at one address.
type addressedEngines struct {
	relay.EngineClient
	address string
}

func (e addressedEngines) Start(ctx context.Context, ticket core.Ticket, request engine.Request) (relay.FrameReader, error) {
	ticket.Address = e.address
	return e.EngineClient.Start(ctx, ticket, request)
}

var requestID = regexp.MustCompile(`"request_id":"([0-9a-f]{32})"`)

// startRawEngine returns the address of a listener that responds to the first request on
// each connection with the first token of a stream, and then sends nothing more.
func startRawEngine(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		var buffer [8192]byte
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := 0
			for n == 0 || !requestID.Match(buffer[:n]) {
				got, err := conn.Read(buffer[n:])
				if err != nil {
					return
				}
				n += got
			}
			event := (&tokenBody{id: string(requestID.FindSubmatch(buffer[:n])[1]), at: 1, tokens: 9}).event(nil)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEngine-Incarnation: i1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event)
			b.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

func serve(b *testing.B, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// openStream sends a request over a new TCP connection and reads until the first token.
func openStream(b *testing.B, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", completionsURL, testKey, len(streamRequestBody), streamRequestBody)
	lines := bufio.NewReader(conn)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if strings.HasPrefix(line, "data: ") {
			return
		}
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() (heap, stack int64) {
	for range 5 { // each collection halves stacks that are larger than needed
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc), int64(stats.StackInuse)
}
