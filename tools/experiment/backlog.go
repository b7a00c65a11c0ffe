package main

import "time"

const (
	queueBudget  = 5 * time.Second // longest wait for an engine
	queueEntries = 512
)

// backlog is a bounded queue, first in first out, for the policies that let requests wait.
type backlog struct {
	simulation *simulation
	waiting    []*request
}

// push queues a request, or refuses it if the queue is full.
func (b *backlog) push(r *request) {
	if len(b.waiting) >= queueEntries {
		b.simulation.refuse(r)
		return
	}
	b.waiting = append(b.waiting, r)
}

// drain offers the requests in order until one is not taken, and refuses those whose
// budget has ended.
func (b *backlog) drain(take func(*request) bool) {
	for len(b.waiting) > 0 {
		head := b.waiting[0]
		if b.simulation.now-head.arrival > queueBudget {
			b.simulation.refuse(head)
		} else if !take(head) {
			return
		}
		b.waiting = b.waiting[1:]
	}
}
