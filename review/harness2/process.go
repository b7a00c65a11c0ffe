package main

import (
	"os"
	"os/exec"
	"sync"
)

// process is a process that the case has started.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	once    sync.Once
}

// start starts a process. Its output goes to the given file.
func (s *session) start(output *os.File, environment []string, program string, arguments ...string) (*process, error) {
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.once.Do(func() { _ = p.command.Process.Kill() })
	<-p.exited
}

// gone reports whether the process has ended.
func (p *process) gone() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
