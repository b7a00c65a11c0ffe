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
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 4 << 20
)

func (s *Server) registerRoutes() {
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
	var body completionRequest
	if !readBody(w, r, &body) {
		return
	}
	if !body.Stream || body.RequestID == "" || body.Prompt == "" {
		writeError(w, &statusError{http.StatusBadRequest, "bad_request"})
		return
	}
	s.serveStream(w, r, 0, func(e *engine) (*reader, error) {
		return e.submit(body, r.Header.Get(headerExpect))
	})
}

func (s *Server) getStream(w http.ResponseWriter, r *http.Request) {
	after := 0
	if value := r.Header.Get("Last-Event-ID"); value != "" {
		number, err := strconv.Atoi(value)
		if err != nil || number < 0 {
			writeError(w, &statusError{http.StatusBadRequest, "bad_event_id"})
			return
		}
		after = number
	}
	s.serveStream(w, r, after, func(e *engine) (*reader, error) {
		return e.resume(r.PathValue("id"), r.Header.Get(headerExpect))
	})
}

// serveStream sends the frames of a stream that follow the frame number after.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, after int, open func(*engine) (*reader, error)) {
	var rd *reader
	var err error
	var incarnation string
	s.do(func(e *engine) {
		rd, err = open(e)
		incarnation = e.incarnation
	})
	w.Header().Set(headerIncarnation, incarnation)
	if err != nil {
		writeError(w, err)
		return
	}
	defer s.loop.Do(func(e *engine) { e.unsubscribe(rd) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	frames := newFrameWriter(w, rd.stream, after)
	frames.flush()
	s.writeStream(r, rd, frames)
}

// writeStream writes frames until the stream ends or the client disconnects.
func (s *Server) writeStream(r *http.Request, rd *reader, frames *frameWriter) {
	for {
		select {
		case u := <-rd.subscriber.updates:
			if u.cancelled {
				panic(http.ErrAbortHandler)
			}
			s.writeUpdate(frames, u)
			if u.ended {
				frames.writeDone()
				return
			}
		case <-rd.incarnationEnded:
			panic(http.ErrAbortHandler)
		case <-s.loop.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// writeUpdate writes the frames of an update and injects its faults.
func (s *Server) writeUpdate(frames *frameWriter, u update) {
	if u.cut {
		frames.writeFirstHalf(u)
		panic(http.ErrAbortHandler)
	}
	if u.stall > 0 {
		frames.writeFirstHalf(u)
		select {
		case <-s.after(u.stall):
		case <-s.loop.Done():
			panic(http.ErrAbortHandler)
		}
		frames.writeSecondHalf()
	}
	frames.write(u)
	frames.flush()
}

func (s *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	s.do(func(e *engine) { e.cancel(r.PathValue("id")) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	var report loadReport
	s.do(func(e *engine) { report = e.currentLoad() })
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) getCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, &statusError{http.StatusBadRequest, "bad_request"})
		return
	}
	var page cachePage
	s.do(func(e *engine) { page = e.cacheEvents(after) })
	writeJSON(w, http.StatusOK, page)
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var body order
	if !readBody(w, r, &body) {
		return
	}
	var dropResponse bool
	var err error
	s.do(func(e *engine) { dropResponse, err = e.applyOrder(body) })
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	var report stateReport
	s.do(func(e *engine) { report = e.state() })
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	spec, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(spec)
	w.WriteHeader(http.StatusNoContent)
}

// readBody decodes a JSON body. On failure it writes an error response and reports false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, &statusError{http.StatusBadRequest, "bad_request"})
		return false
	}
	return true
}

// writeError writes the status and type of a statusError.
func writeError(w http.ResponseWriter, err error) {
	var statusErr *statusError
	if !errors.As(err, &statusErr) {
		statusErr = &statusError{http.StatusInternalServerError, "internal"}
	}
	writeJSON(w, statusErr.status, map[string]map[string]string{"error": {"type": statusErr.kind}})
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
