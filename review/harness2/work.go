package main

import (
	"fmt"
	"strings"
	"time"
)

// work is what the runners have done on one request, by runner.
type work map[string]*span

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

// runsAfter counts the runs of requests whose ids have a prefix that began after a time.
func (s *session) runsAfter(prefix string, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for id, byRunner := range s.work {
		for _, run := range byRunner {
			if strings.HasPrefix(id, prefix) && run.began > after.UnixMilli() {
				count++
			}
		}
	}
	return count
}
