package main

import "fmt"

// work is what the runners have done on one request, by runner.
type work map[string]*span

// span is the time in Unix milliseconds from the beginning of a run to the last work on it.
type span struct{ began, last int64 }

// ran takes a line that a runner has printed.
func (s *session) ran(runner, line string) {
	var id, path string
	var event int
	var at int64
	begins := false
	if n, _ := fmt.Sscanf(line, "work %s %d %d", &id, &event, &at); n != 3 {
		if n, _ := fmt.Sscanf(line, "run %s %s %d", &id, &path, &at); n != 3 {
			return
		}
		begins = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.work[id] == nil {
		s.work[id] = work{}
	}
	if begins || s.work[id][runner] == nil {
		s.work[id][runner] = &span{began: at}
	}
	s.work[id][runner].last = at
}

// mayBoth is the time in milliseconds for which two runners may work on one request.
const mayBoth = 400

// judgeTwice looks for requests that went on at another runner while the one before still worked on them for longer than allowed.
func (s *session) judgeTwice() {
	s.mu.Lock()
	all := s.work
	s.mu.Unlock()
	for id, byRunner := range all {
		for former, a := range byRunner {
			for later, b := range byRunner {
				if both := a.last - b.began; former != later && a.began < b.began && both > mayBoth {
					s.violate("TWICE: %s: %s still works on the request %d ms after it began at %s", id, former, both, later)
				}
			}
		}
	}
}
