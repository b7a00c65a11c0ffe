package gateway

// eventSequence is the sequence of the events of a stream that have been sent to its caller, by their ids.
type eventSequence struct {
	known   bool  // an event with an id has been sent
	last    int64 // id of the last one
	count   int   // events with an id
	step    int64 // largest step between the ids of two events of one response
	resumed bool  // another engine goes on with the stream and has not sent an event yet
}

// repeats reports whether the caller has the event already.
func (q *eventSequence) repeats(id int64) bool { return q.known && id <= q.last }

// skips reports whether an engine that goes on with the stream has left events out. Within one response ids
// may rise by any number.
func (q *eventSequence) skips(id int64) bool {
	return q.known && q.resumed && id > q.last+q.step
}

// record records that an event has been sent. The id of the first event stands for a step until there is one.
func (q *eventSequence) record(id int64) {
	switch {
	case !q.known:
		q.step = max(id, 1)
	case q.resumed:
	case q.count == 1:
		q.step = id - q.last
	default:
		q.step = max(q.step, id-q.last)
	}
	q.known, q.last, q.resumed = true, id, false
	q.count++
}

// resume records that another engine goes on with the stream.
func (q *eventSequence) resume() { q.resumed = true }
