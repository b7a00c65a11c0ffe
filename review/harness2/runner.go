package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner serves requests as PROTOCOL says. It prints a line for each run that begins.
type runner struct {
	runnerOptions
	busy chan struct{}

	reading sync.Mutex // prompts are read one after another
	mu      sync.Mutex
	copies  map[string]bool // by request
}

// runRunner serves until the process is killed.
func runRunner(arguments []string) int {
	var o runnerOptions
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&o.listen, "listen", "", "address")
	flags.StringVar(&o.id, "id", "", "id of the incarnation")
	flags.BoolVar(&o.engine, "engine", false, "serve streams")
	flags.BoolVar(&o.unframed, "unframed", false, "answer without length and chunks")
	flags.IntVar(&o.size, "size", 800, "bytes of an answer")
	flags.IntVar(&o.pieces, "pieces", 1, "pieces of an answer")
	flags.DurationVar(&o.work, "work", 30*time.Millisecond, "work time")
	flags.IntVar(&o.slots, "slots", 6, "requests at once")
	flags.BoolVar(&o.keepCopies, "copies", false, "hold copies of generations")
	flags.IntVar(&o.loses, "loses", 0, "per cent of the runs whose answers are lost")
	flags.StringVar(&o.deadlyPart, "deadly-part", "", "part of a prompt under which the runner crashes")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	fmt.Println("listening")
	r := &runner{runnerOptions: o, busy: make(chan struct{}, o.slots), copies: map[string]bool{}}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitCannotRun
		}
		go r.serve(conn)
	}
}

// serve answers one request, and closes the connection.
func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Attempt-Id")
	expected := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path == "/health":
		r.refuse(conn, id, "200 OK", "")
	case request.URL.Path == "/siskintide/kv-move":
		r.refuse(conn, id, "503 Service Unavailable", "") // the destination has no room
	case request.URL.Path == "/siskintide/report":
		body := `{"stage":"colocated","models":[],"busy":false,"seq":0,"waiting":0,"running":0,"kv-used":0,"kv-total":34463,"handles":0,"state":"ready"}`
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	case strings.HasPrefix(request.URL.Path, copyPath):
		r.mu.Lock()
		r.copies[strings.TrimPrefix(request.URL.Path, copyPath)] = true
		r.mu.Unlock()
		r.refuse(conn, id, "200 OK", "")
	case id == "":
		r.refuse(conn, id, "400 Bad Request", "Not-Executed: 1\r\n")
	case expected != "" && expected != r.id:
		r.refuse(conn, id, "421 Misdirected Request", "")
	case request.Header.Get("Kv-From") != "" && !r.takeCopy(request.Header.Get("Kv-From")):
		r.refuse(conn, id, "503 Service Unavailable", "Not-Executed: 1\r\n") // it had no room for the copy
	case r.engine:
		r.stream(conn, request, id)
	default:
		r.call(conn, request, id)
	}
}

func (r *runner) refuse(conn net.Conn, id, status, header string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nRunner-Id: %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, id, r.id, header)
}

// begin takes a slot. It refuses the request if there is none soon.
func (r *runner) begin(conn net.Conn, request *http.Request, id string) bool {
	select {
	case r.busy <- struct{}{}:
	case <-time.After(200 * time.Millisecond):
		r.refuse(conn, id, "503 Service Unavailable", "Not-Executed: 1\r\n")
		return false
	}
	fmt.Printf("run %s %s %d resumed=%v\n", id, request.URL.Path, time.Now().UnixMilli(), request.Header.Get("Kv-From") != "")
	return true
}

func (r *runner) head(id, contentType string, length int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nRunner-Id: %s\r\nContent-Type: %s\r\nConnection: close\r\n", id, signature(id), r.id, contentType)
	switch {
	case r.unframed:
	case length >= 0:
		head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	default:
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n"
}

// copyPath is the prefix of the path at which runners of this stand-in hand over copies.
const copyPath = "/standin/copy/"

// takeCopy uses the copy that the header Kv-From names, once. It returns false if the runner has none.
func (r *runner) takeCopy(from string) bool {
	_, id, _ := strings.Cut(from, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.copies[id]
	delete(r.copies, id)
	return held
}

// sendCopy hands a copy of a generation to another runner.
func (r *runner) sendCopy(to, id string) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: copy\r\nContent-Length: 0\r\n\r\n", copyPath, id)
	_, _ = io.Copy(io.Discard, conn)
}

// promptTokensPerMS is the speed at which engines read prompts.
const promptTokensPerMS = 14

// read reads the prompt of a request that does not go on from a copy.
func (r *runner) read(header http.Header) {
	prompt, _, _ := strings.Cut(header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(prompt))
	if err != nil || header.Get("Kv-From") != "" {
		return
	}
	r.reading.Lock()
	defer r.reading.Unlock()
	<-time.After(time.Duration(tokens/promptTokensPerMS) * time.Millisecond)
}

// isDeadly reports whether a prompt has the deadly part. The last part never is.
func (r *runner) isDeadly(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); r.deadlyPart != "" && id == r.deadlyPart {
			return true
		}
	}
	return false
}

// call writes the answer of a call in pieces while it works.
func (r *runner) call(conn net.Conn, request *http.Request, id string) {
	if !r.begin(conn, request, id) {
		return
	}
	defer func() { <-r.busy }()
	body := callBody(id, r.size)
	if _, err := io.WriteString(conn, r.head(id, "application/octet-stream", len(body))); err != nil {
		return
	}
	piece := (len(body) + r.pieces - 1) / r.pieces
	for at := 0; at < len(body); at += piece {
		<-time.After(r.work / time.Duration(r.pieces))
		if _, err := io.WriteString(conn, body[at:min(at+piece, len(body))]); err != nil {
			return
		}
	}
}

// stream writes the events of a stream.
func (r *runner) stream(conn net.Conn, request *http.Request, id string) {
	if !r.begin(conn, request, id) {
		return
	}
	defer func() { <-r.busy }()
	if holder := request.Header.Get("Kv-Backup"); holder != "" {
		go r.sendCopy(holder, id)
	}
	r.read(request.Header)
	if r.isDeadly(request.Header.Get("Prompt-Prefix")) {
		fmt.Printf("crash %s\n", id)
		os.Exit(exitBroken)
	}
	first := 0
	if request.Header.Get("Kv-From") != "" {
		if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
	}
	answer := io.Writer(conn)
	if r.losesAnswer() {
		fmt.Printf("lost %s\n", id)
		resetConnection(conn)
		answer = io.Discard
	}
	if _, err := io.WriteString(answer, r.head(id, "text/event-stream", -1)); err != nil {
		return
	}
	for event := first; event < eventCount(request.Header.Get("Token-Usage")); event++ {
		<-time.After(r.work)
		fmt.Printf("work %s %d %d\n", id, event, time.Now().UnixMilli())
		text := streamEvent(id, event)
		if !r.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(answer, text); err != nil {
			return
		}
	}
	if !r.unframed {
		_, _ = io.WriteString(answer, "0\r\n\r\n")
	}
}

// losesAnswer reports whether the answer of a run is lost.
func (r *runner) losesAnswer() bool { return rand.IntN(100) < r.loses }

// resetConnection closes a connection with a reset.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// eventCount returns the number of events of a stream: four tokens each.
func eventCount(usage string) int {
	_, tokens, _ := strings.Cut(usage, ",")
	count, err := strconv.Atoi(strings.TrimSpace(tokens))
	if err != nil {
		return 1
	}
	return (count + 3) / 4
}
