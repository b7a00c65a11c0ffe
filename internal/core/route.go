package core

import "time"

// Route maps the requests with one host name and path prefix to pools.
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
	MaxAttempts int  // maximum number of targets that one request is sent to
	Public      bool // requests need no API key
	Resumable   bool // callers may resume after the last event that they received
}
