package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	prefillPerMS = 14                     // prompt tokens that an engine reads in a millisecond
	eventTokens  = 4                      // tokens in an event
	eventTime    = 30 * time.Millisecond  // between two events
	stepTime     = 10 * time.Millisecond  // of a batch; a request gets its first token at the end of one
	copyLag      = 250 * time.Millisecond // by which a copy is behind its run at most
	moveTime     = 20 * time.Millisecond  // of a copy on demand
)

// engine is a stand-in of one model runner. A request runs from its first token on; before that its prompt is read, and
// kv-move knows no run of it. The engine does not drop a request whose connection is lost.
type engine struct {
	pool        *engines
	id, address string
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/siskintide/kv-move":
		e.serveMove(w, r)
	case strings.HasPrefix(r.URL.Path, "/siskintide/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/siskintide/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"state": "ready", "waiting": 0, "running": 0})
	default:
		e.serveStream(w, r)
	}
}

// serveMove stops a run if last is set, and answers 404 if there is no such run.
func (e *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.move(body.ID, body.To, body.Last) {
		e.pool.record.note("engine %s: kv-move of %s, last %t: 404, no such run", e.id, body.ID, body.Last)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	<-time.After(moveTime)
	e.pool.record.note("engine %s: kv-move of %s, last %t: 200", e.id, body.ID, body.Last)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h-" + body.ID, "create-rev": 0})
}

// move copies the memory of a run to another engine, and stops it first if last is set. It reports whether there is such a run.
func (e *engine) move(id, to string, last bool) bool {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	for _, run := range e.pool.runs {
		if run.id != id || run.engine != e.id || !run.ended.IsZero() {
			continue
		}
		if last {
			run.ended = time.Now()
			close(run.stop)
		}
		e.pool.copies[to+"/h-"+id] = true
		return true
	}
	return false
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(platformtest.HeaderAttemptID)
	w.Header().Set(platformtest.HeaderAttemptID, id)
	w.Header().Set(platformtest.HeaderRunnerID, e.id)
	if expected := r.Header.Get(platformtest.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := r.Header.Get(platformtest.HeaderKVFrom)
	if from != "" && !e.pool.takeCopy(e.address, from) {
		w.Header().Set(platformtest.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prompt, output, _ := strings.Cut(r.Header.Get(platformtest.HeaderTokenUsage), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	if from != "" { // only what the copy lacks is read
		promptTokens = int(copyLag/eventTime) * eventTokens
	}
	e.pool.record.note("engine %s: got %s, Kv-From %q", e.id, id, from)
	firstToken := time.After(stepTime + time.Duration(promptTokens)*time.Millisecond/prefillPerMS)
	lost := e.pool.losesAnswer(e.id)
	if lost {
		<-time.After(e.pool.lossAfter)
		e.pool.record.note("engine %s: the answer to %s is lost, its connection is reset", e.id, id)
		reset(w)
	}
	<-firstToken
	run := &engineRun{id: id, engine: e.id, began: time.Now(), stop: make(chan struct{})}
	e.pool.begin(run)
	first := int64(0)
	if last, err := strconv.ParseInt(r.Header.Get(platformtest.HeaderLastEventID), 10, 64); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(w)
	if !lost {
		w.Header().Set(platformtest.HeaderSignature, platformtest.Signature(id))
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for event := first; event < int64(outputTokens/eventTokens); event++ {
		if !lost {
			_, _ = io.WriteString(w, platformtest.Event(id, event))
			_ = controller.Flush()
		}
		e.pool.recordEvent(run, event, r.Header.Get(platformtest.HeaderKVBackup))
		select {
		case <-time.After(eventTime):
		case <-run.stop:
			e.pool.record.note("engine %s: %s is stopped", e.id, id)
			panic(http.ErrAbortHandler)
		}
	}
	e.pool.end(run)
}

// reset closes the connection of a response with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
