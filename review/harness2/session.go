package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// session is one play of a case.
type session struct {
	daemon   string
	folder   string
	record   *record
	trouble  bool
	store    *platformtest.Store
	storeAt  string
	nextHost int

	mu         sync.Mutex
	processes  []*process
	violations []string
	work       map[string]work // by request
}

func newSession(daemon, recordPath string, trouble bool) (*session, error) {
	daemon, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("daemon is not built: %w", err)
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &session{daemon: daemon, folder: folder, record: rec, trouble: trouble, store: platformtest.NewStore(), work: map[string]work{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	s.record.add("trouble: %v", trouble)
	return s, nil
}

// violate records that the rule was broken.
func (s *session) violate(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	s.record.add("BROKEN %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

// end stops all processes, and returns the exit code of the case.
func (s *session) end(err error) int {
	s.mu.Lock()
	processes, violations := s.processes, len(s.violations)
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(s.folder)
	code := exitHeld
	switch {
	case err != nil:
		s.record.add("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		code = exitCannotRun
	case violations > 0:
		code = exitBroken
	}
	s.record.add("violations: %d; exit code %d", violations, code)
	fmt.Printf("violations: %d; exit code %d\n", violations, code)
	return code
}

// playLimit ends a case that lasts too long.
const playLimit = 115 * time.Second

// stopEarly ends the case, and all its processes, on a signal or after playLimit.
func (s *session) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case got := <-signals:
			os.Exit(s.end(fmt.Errorf("stopped by %v", got)))
		case <-time.After(playLimit):
			os.Exit(s.end(fmt.Errorf("not done after %v", playLimit)))
		}
	}()
}

// waitUntil waits for a condition. It returns an error if it does not hold in time.
func waitUntil(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not in time: %s", what)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
