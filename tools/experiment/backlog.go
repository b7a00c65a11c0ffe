package main

import "time"

const (
	queueBudget  = 5 * time.Second // longest time in the queue
	queueEntries = 512             // capacity of the queue
)

// backlog is a bounded FIFO queue for the policies that let requests wait.
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

// drain dispatches the requests in order until dispatch returns false. It refuses requests
// that have waited longer than the queue budget.
func (b *backlog) drain(dispatch func(*request) bool) {
	for len(b.waiting) > 0 {
		head := b.waiting[0]
		if b.simulation.now-head.arrival > queueBudget {
			b.simulation.refuse(head)
		} else if !dispatch(head) {
			return
		}
		b.waiting = b.waiting[1:]
	}
}
