package gateway

// eventSequence is the sequence of the events of a stream that have been sent to its caller, by their ids.
type eventSequence struct {
	known        bool  // an event with an id has been sent
	last         int64 // id of the last one
	count        int   // events with an id that have been sent by this host
	step         int64 // largest step between the ids of two events of one response; that of the first id until there are two
	poolStep     int64 // largest step that other streams of the same engines have shown; zero if none is known
	ownStep      int64 // largest step that this stream has shown itself; zero if it has shown none
	resumed      bool  // another engine goes on with the stream and has not sent a new event yet
	repeated     bool  // that engine has sent an event that the caller has already
	lastRepeated int64 // id of the last one
}

// expectStep sets the largest step that other streams of the same engines have shown; zero for none. The steps of this
// stream may be as large, though it has not shown one yet.
func (q *eventSequence) expectStep(step int64) { q.poolStep = step }

// startAfter records that the caller has the events up to an id from an earlier response. An id below zero lies before
// the first event, at an unknown distance.
func (q *eventSequence) startAfter(id int64) {
	q.known, q.last, q.resumed = true, id, true
	if id < 0 {
		q.poolStep = 0
	}
}

// repeats reports whether the caller has the event already.
func (q *eventSequence) repeats(id int64) bool { return q.known && id <= q.last }

// recordRepeated records that an engine has sent an event that the caller has already.
func (q *eventSequence) recordRepeated(id int64) { q.repeated, q.lastRepeated = true, id }

// skips reports whether an engine that goes on with the stream has left events out. Within one response ids
// may rise by any number, so one that has sent the events before again leaves none out.
func (q *eventSequence) skips(id int64) bool {
	largest := max(q.step, q.poolStep)
	return q.known && q.resumed && !q.repeated && largest > 0 && id-q.last > largest
}

// behind reports whether an engine that goes on with the stream has sent events again, but not the last one that
// the caller has. If its response ends, that is not the end of the stream.
func (q *eventSequence) behind() bool { return q.resumed && q.repeated && q.lastRepeated < q.last }

// record records that an event has been sent. The id of the first event stands for a step until there is one.
func (q *eventSequence) record(id int64) {
	switch {
	case !q.known:
		q.step = max(id, 1)
	case q.resumed:
	case q.count == 1:
		q.ownStep = max(q.ownStep, id-q.last)
		q.step = id - q.last
	default:
		q.ownStep = max(q.ownStep, id-q.last)
		q.step = max(q.step, id-q.last)
	}
	q.known, q.last, q.resumed, q.repeated = true, id, false, false
	q.count++
}

// resume records that another engine goes on with the stream.
func (q *eventSequence) resume() { q.resumed, q.repeated = true, false }
