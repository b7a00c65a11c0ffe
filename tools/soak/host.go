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

// host is one daemon process, which is restarted whenever it ends.
type host struct {
	boot            platformtest.BootSettings
	storeProxy      *proxy // between the host and the store
	daemon          string
	dir             string
	mu              sync.Mutex
	process         *os.Process // nil while none runs
	closed          bool
	stopped         chan struct{}
	unexpectedExits int  // exits without a signal from the soak
	expectedExit    bool // the soak has sent a signal that ends the running process
}

func (h *host) callerAddress() string { return fmt.Sprintf("%s:%d", h.boot.IP, h.boot.FrontPort) }

func (h *host) readyURL() string {
	return fmt.Sprintf("http://%s:%d%s", h.boot.IP, h.boot.ReadyPort, platformtest.ReadyPath)
}

// start runs the process in the background and restarts it until the host is closed.
func (h *host) start() error {
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
		for h.runProcess(settings, output) {
			<-time.After(restartPause)
		}
	}()
	return nil
}

// runProcess runs the process until it exits. It reports false if the host is closed.
func (h *host) runProcess(settings string, output *os.File) bool {
	command := exec.Command(h.daemon, "platform")
	command.Env = append(os.Environ(), platformtest.BootVariable+"="+settings)
	command.Stdout, command.Stderr = output, output
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	h.expectedExit = false
	err := command.Start()
	h.process = command.Process
	h.mu.Unlock()
	if err == nil {
		_ = command.Wait() // the exit is counted below, whatever its status
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = nil
	if !h.expectedExit && !h.closed {
		h.unexpectedExits++
	}
	return !h.closed
}

// signal sends a signal to the host's process, if one is running.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.expectedExit = true
	}
	_ = h.process.Signal(sig) // the process may have just exited
}

// close kills the process without a restart.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.stopped
}
