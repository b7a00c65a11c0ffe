package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// target is a runner with its entry in the store. It may be started again at its address.
type target struct {
	session    *session
	options    runnerOptions
	service    string
	zone       string
	registered string // address in the entry, which may be that of a proxy

	mu      sync.Mutex
	process *process
	starts  int
	cut     bool // it cannot reach the store
}

// startTarget starts a runner and registers it.
func (s *session) startTarget(name, service, zone, registered string, options runnerOptions) (*target, error) {
	t := &target{session: s, options: options, service: service, zone: zone, registered: registered}
	t.options.id = name
	if t.options.listen == "" {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		t.options.listen = address
	}
	if t.registered == "" {
		t.registered = t.options.listen
	}
	return t, t.start()
}

// start starts the process of the runner, which registers anew.
func (t *target) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	output, err := os.Create(filepath.Join(t.session.folder, fmt.Sprintf("%s-%d.log", t.options.id, t.starts)))
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := t.options
	p, err := t.session.start(output, nil, self, "runner", "-listen", o.listen, "-id", o.id, fmt.Sprintf("-engine=%v", o.engine), fmt.Sprintf("-unframed=%v", o.unframed),
		"-size", fmt.Sprint(o.size), "-pieces", fmt.Sprint(o.pieces), "-work", o.work.String(), "-slots", fmt.Sprint(o.slots),
		fmt.Sprintf("-copies=%v", o.keepCopies), "-deadly-part", o.deadlyPart, "-loses", fmt.Sprint(o.loses))
	if err != nil {
		return err
	}
	t.process = p
	go t.copyRuns(output.Name(), p)
	if err := waitUntil("runner listens", 5*time.Second, func() bool {
		text, _ := os.ReadFile(output.Name())
		return strings.Contains(string(text), "listening")
	}); err != nil {
		return err
	}
	t.session.record.add("runner %s starts at %s", o.id, o.listen)
	go t.register(p, time.Now().UnixMilli())
	return nil
}

// register writes the entry as a runner does, and removes it after three intervals of silence.
func (t *target) register(p *process, born int64) {
	for seq := 1; ; seq++ {
		t.mu.Lock()
		cut := t.cut
		t.mu.Unlock()
		if !cut {
			entry, _ := json.Marshal(map[string]any{"service": t.service, "address": t.registered, "zone": t.zone, "version": "1", "slots": t.options.slots,
				"state": "ready", "cold-left-ms": 0, "seq": seq, "born": born})
			t.session.store.Put("servers", t.options.id, entry)
		}
		select {
		case <-p.exited:
			<-time.After(3 * heartbeat)
			t.mu.Lock()
			if t.process == p {
				t.session.store.Delete("servers", t.options.id)
				t.session.record.add("entry of %s removed", t.options.id)
			}
			t.mu.Unlock()
			return
		case <-time.After(heartbeat):
		}
	}
}

// copyRuns copies the runs that a process prints into the record.
func (t *target) copyRuns(path string, p *process) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "run ") || strings.HasPrefix(line, "lost ") {
			t.session.record.add("%s %s", t.options.id, strings.TrimSpace(line))
		}
		t.session.ran(t.options.id, line)
		if err == nil {
			continue
		}
		if p.gone() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
}

// crash kills the process.
func (t *target) crash() {
	t.mu.Lock()
	p := t.process
	t.mu.Unlock()
	p.kill()
	t.session.record.add("runner %s crashes", t.options.id)
}

// setCut cuts the runner off from the store, or ends that.
func (t *target) setCut(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = cut
}
