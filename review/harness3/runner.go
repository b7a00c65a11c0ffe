package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	// workTime is the time that a call takes until its answer begins, and bodyTime the time from there to its end.
	workTime = 30 * time.Millisecond
	bodyTime = 60 * time.Millisecond
)

// serveRunner is a runner of a plain service, as a process of its own. Its answers have neither a length nor chunks, and
// end with their connections.
func serveRunner(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: harness3 runner ADDRESS ID")
	}
	listener, err := net.Listen("tcp", args[0])
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go serveUnframed(conn, args[1])
	}
}

// serveUnframed answers the one request of a connection.
func serveUnframed(conn net.Conn, instance string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get(platformtest.HeaderAttemptID)
	if id == "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if expected := request.Header.Get(platformtest.HeaderExpectInstance); expected != "" && expected != instance {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n", id, instance)
		return
	}
	fmt.Println("run", id)
	body := platformtest.Body(id)
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nRunner-Id: %s\r\nConnection: close\r\n\r\n%s",
		id, platformtest.Signature(id), instance, body[:len(body)/2])
	time.Sleep(bodyTime)
	_, _ = io.WriteString(conn, body[len(body)/2:])
}

// runnerProcess is a runner of a plain service that can be killed and started again.
type runnerProcess struct {
	record      *record
	address, id string
	command     *exec.Cmd
	copied      chan struct{}
}

// start starts the process, and returns once it listens.
func (p *runnerProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	p.command = exec.Command(program, "runner", p.address, p.id)
	output, err := p.command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("output of a runner: %w", err)
	}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start runner: %w", err)
	}
	lines, listening := bufio.NewScanner(output), make(chan struct{})
	p.copied = make(chan struct{})
	go func(copied chan struct{}) {
		defer close(copied)
		for lines.Scan() {
			if line := lines.Text(); strings.HasPrefix(line, "run ") {
				p.record.note("runner %s: %s", p.id, line)
			} else {
				close(listening)
			}
		}
	}(p.copied)
	select {
	case <-listening:
		return nil
	case <-time.After(startTime):
		p.kill()
		return fmt.Errorf("runner %s does not listen", p.id)
	}
}

// kill ends the process with SIGKILL.
func (p *runnerProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.copied
	_ = p.command.Wait()
}
