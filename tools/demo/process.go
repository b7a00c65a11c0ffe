package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to stop after SIGTERM before it is killed.
const stopTimeout = 10 * time.Second

// process is one process that the demo started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan error
	log     io.Closer
}

// startProcess starts a program with its output in a file below dir.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	file, err := os.Create(dir + "/" + name + ".log")
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", name, err)
	}
	command := exec.Command(program, args...)
	command.Stdout = file
	command.Stderr = file
	if err := command.Start(); err != nil {
		file.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, command: command, done: make(chan error, 1), log: file}
	go func() { p.done <- command.Wait() }()
	return p, nil
}

// kill ends the process at once, as a failing machine would.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
	p.done <- nil
	p.log.Close()
}

// stop asks the process to end and returns how it ended.
func (p *process) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- err
		p.log.Close()
		return err
	case <-time.After(stopTimeout):
		p.kill()
		return &stepError{step: "stop " + p.name, reason: "did not end after SIGTERM"}
	}
}
