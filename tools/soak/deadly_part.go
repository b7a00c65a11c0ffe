package main

import (
	"fmt"
	"sync"
	"time"
)

// deadlyPart is a part of a prompt under which engines crash, for a while.
type deadlyPart struct {
	name    string
	form    crashForm
	mu      sync.Mutex
	over    bool
	crashes []time.Time
	sent    []time.Time // requests with the part that have reached an engine
}

// record records a request with the part at an engine. It reports whether the part is still deadly.
func (d *deadlyPart) record() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = append(d.sent, time.Now())
	return !d.over
}

func (d *deadlyPart) recordCrash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes = append(d.crashes, time.Now())
}

func (d *deadlyPart) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
}

// summary returns what has become of the part.
func (d *deadlyPart) summary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("deadly part %s (%+v): %d requests reached engines, %d crashes", d.name, d.form, len(d.sent), len(d.crashes))
}
