package engineserver

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"siskintide.example/siskintide/tools/standin/fault"
)

const (
	headerIncarnation = "Engine-Incarnation"
	headerExpect      = "Engine-Expect-Incarnation"
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 4 << 20
)

func (s *Server) route() {
	s.mux.HandleFunc("POST /v1/completions", s.postCompletion)
	s.mux.HandleFunc("GET /v1/streams/{id}", s.getStream)
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.deleteStream)
	s.mux.HandleFunc("GET /v1/load", s.getLoad)
	s.mux.HandleFunc("GET /v1/cache", s.getCache)
	s.mux.HandleFunc("POST /v1/orders", s.postOrder)
	s.mux.HandleFunc("GET /v1/state", s.getState)
	s.mux.HandleFunc("POST /stand-in/fault", s.postFault)
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) {
	var body completion
	if !readBody(w, r, &body) {
		return
	}
	if !body.Stream || body.RequestID == "" || body.Prompt == "" {
		refuse(w, &refusal{http.StatusBadRequest, "bad_request"})
		return
	}
	s.stream(w, r, 0, func(e *engine) (*reader, error) {
		return e.submit(body, r.Header.Get(headerExpect))
	})
}

func (s *Server) getStream(w http.ResponseWriter, r *http.Request) {
	after := 0
	if value := r.Header.Get("Last-Event-ID"); value != "" {
		number, err := strconv.Atoi(value)
		if err != nil || number < 0 {
			refuse(w, &refusal{http.StatusBadRequest, "bad_event_id"})
			return
		}
		after = number
	}
	s.stream(w, r, after, func(e *engine) (*reader, error) {
		return e.resume(r.PathValue("id"), r.Header.Get(headerExpect))
	})
}

// stream answers with the frames of a stream that follow a number.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, after int, open func(*engine) (*reader, error)) {
	var opened *reader
	var err error
	var incarnation string
	s.act(func(e *engine) {
		opened, err = open(e)
		incarnation = e.incarnation
	})
	w.Header().Set(headerIncarnation, incarnation)
	if err != nil {
		refuse(w, err)
		return
	}
	defer s.owner.Do(func(e *engine) { e.unsubscribe(opened) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	frames := newFrameWriter(w, opened.stream, after)
	frames.flush()
	s.send(r, opened, frames)
}

// send writes frames until the stream ends or its reader has gone.
func (s *Server) send(r *http.Request, opened *reader, frames *frameWriter) {
	for {
		select {
		case u := <-opened.subscriber.updates:
			if u.gone {
				panic(http.ErrAbortHandler)
			}
			s.show(frames, u)
			if u.ended {
				frames.end()
				return
			}
		case <-opened.lost:
			panic(http.ErrAbortHandler)
		case <-s.owner.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// show writes the frames of an update with its faults.
func (s *Server) show(frames *frameWriter, u update) {
	if u.cut {
		frames.half(u)
		panic(http.ErrAbortHandler)
	}
	if u.stall > 0 {
		frames.half(u)
		select {
		case <-s.wait(u.stall):
		case <-s.owner.Done():
			panic(http.ErrAbortHandler)
		}
		frames.otherHalf()
	}
	frames.write(u)
	frames.flush()
}

func (s *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	s.act(func(e *engine) { e.cancel(r.PathValue("id")) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	var report loadReport
	s.act(func(e *engine) { report = e.load() })
	answer(w, http.StatusOK, report)
}

func (s *Server) getCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, &refusal{http.StatusBadRequest, "bad_request"})
		return
	}
	var page cachePage
	s.act(func(e *engine) { page = e.cacheEvents(after) })
	answer(w, http.StatusOK, page)
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var body order
	if !readBody(w, r, &body) {
		return
	}
	var lose bool
	var err error
	s.act(func(e *engine) { lose, err = e.order(body) })
	if lose {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	var report stateReport
	s.act(func(e *engine) { report = e.state() })
	answer(w, http.StatusOK, report)
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	order, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(order)
	w.WriteHeader(http.StatusNoContent)
}

// readBody reads a JSON body. It reports false when it has answered with a refusal.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		refuse(w, &refusal{http.StatusBadRequest, "bad_request"})
		return false
	}
	return true
}

// refuse answers with the status and type of a refusal.
func refuse(w http.ResponseWriter, err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		refused = &refusal{http.StatusInternalServerError, "internal"}
	}
	answer(w, refused.status, map[string]map[string]string{"error": {"type": refused.kind}})
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
