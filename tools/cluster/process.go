package cluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to stop after SIGTERM before it is killed.
const stopTimeout = 45 * time.Second

// Process is one process that a deployment started.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{} // closed when the process has exited
	err     error         // result of command.Wait; set before done is closed
	log     io.Closer
}

// startProcess starts a program with its output in a log file in dir.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
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
	p := &Process{Name: name, command: command, done: make(chan struct{}), log: file}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.command.Wait()
	p.log.Close()
	close(p.done)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill kills the process, as a machine failure would, and waits until it has exited. A later
// Stop then reports no error.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
	p.err = nil
}

// Signal sends a signal, such as SIGSTOP to freeze the process and SIGCONT to resume it.
func (p *Process) Signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// Stop sends SIGTERM, waits until the process has exited and returns its result. It kills
// the process after stopTimeout.
func (p *Process) Stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timeout.C:
		p.Kill()
		return &StepError{Step: "stop " + p.Name, Reason: "did not end after SIGTERM"}
	}
}
