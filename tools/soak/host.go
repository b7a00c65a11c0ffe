package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// restartPause is the time from the end of a host's process to its next start.
const restartPause = 150 * time.Millisecond

// host is one process of the daemon, which is started again whenever it ends.
type host struct {
	boot    platformtest.BootSettings
	store   *proxy // its way to the store
	daemon  string
	dir     string
	mu      sync.Mutex
	process *os.Process // nil while none runs
	closed  bool
	stopped chan struct{}
	exits   int // ends that nobody ordered
	ordered bool
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.boot.IP, h.boot.FrontPort) }

func (h *host) ready() string {
	return fmt.Sprintf("http://%s:%d%s", h.boot.IP, h.boot.ReadyPort, platformtest.ReadyPath)
}

// keep runs the process, again and again, until the host is closed.
func (h *host) keep() error {
	settings := filepath.Join(h.dir, h.boot.Node+".yaml")
	if err := os.WriteFile(settings, []byte(h.boot.Text()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.Create(filepath.Join(h.dir, h.boot.Node+".log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	h.stopped = make(chan struct{})
	go func() {
		defer close(h.stopped)
		defer func() { _ = output.Close() }()
		for h.once(settings, output) {
			<-time.After(restartPause)
		}
	}()
	return nil
}

// once runs the process to its end. It is false when the host is closed.
func (h *host) once(settings string, output *os.File) bool {
	command := exec.Command(h.daemon, "platform")
	command.Env = append(os.Environ(), platformtest.BootVariable+"="+settings)
	command.Stdout, command.Stderr = output, output
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	h.ordered = false
	err := command.Start()
	h.process = command.Process
	h.mu.Unlock()
	if err == nil {
		_ = command.Wait() // the end is counted below, whatever its status
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = nil
	if !h.ordered && !h.closed {
		h.exits++
	}
	return !h.closed
}

// signal sends a signal to this host's own process, if there is one.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.ordered = true
	}
	_ = h.process.Signal(s) // a process that has just ended needs none
}

// close ends the process for good.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.stopped
}
