package core

import "time"

// Route sends the requests of one host name below one path prefix to pools.
type Route struct {
	ID          RouteID
	Host        string // name in the request, without a port
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Splits      []Split
	Timeout     time.Duration // longest time a caller waits for the final answer; zero means no bound
	AnswerGoal  time.Duration // time to the answer, or to a stream's first event, that earns full credit
	GapGoal     time.Duration // longest pause between a stream's events that earns full credit
	Priority    Priority
	MaxAttempts int  // targets that one request may run on
	Public      bool // requests need no API key
	Resumable   bool // callers may go on after the last event they have
}
