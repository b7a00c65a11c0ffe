package platformserver

import (
	"encoding/json"
	"io"
	"net/http"

	"siskintide.example/siskintide/tools/standin/fault"
)

// callerHeader names the host that calls.
const callerHeader = "Calling-Host"

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 64 << 20

func (s *Server) route() {
	s.mux.HandleFunc("GET /table/rows", s.reading(s.getRows))
	s.mux.HandleFunc("GET /table/row", s.reading(s.getRow))
	s.mux.HandleFunc("POST /table/commit", s.writing(s.postCommit))
	s.mux.HandleFunc("GET /objects/{key...}", s.reading(s.getObject))
	s.mux.HandleFunc("PUT /objects/{key...}", s.writing(s.putObject))
	s.mux.HandleFunc("GET /hosts", s.reading(s.getHosts))
	s.mux.HandleFunc("PUT /hosts/{id}", s.writing(s.putHost))
	s.mux.HandleFunc("GET /stand-in/counts", s.getCounts)
	s.mux.HandleFunc("POST /stand-in/fault", s.postFault)
}

// reading adds the faults that any call shows.
func (s *Server) reading(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var e effects
		s.act(func(st *store) { e = s.common(st, r.Header.Get(callerHeader)) })
		s.before(e, w, func() { serve(w, r) })
	}
}

// writing adds the faults that a write shows. The body is read first, so that a delayed
// write takes effect also when its caller has gone.
func (s *Server) writing(serve func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var e effects
		s.act(func(st *store) { e = s.ofWrite(st, r.Header.Get(callerHeader)) })
		s.before(e, w, func() { s.writeOnce(e, w, r, body, serve) })
	}
}

// writeOnce carries out a write between the faults before and after it.
func (s *Server) writeOnce(e effects, w http.ResponseWriter, r *http.Request, body []byte, serve func(http.ResponseWriter, *http.Request, []byte)) {
	if e.drop {
		panic(http.ErrAbortHandler)
	}
	if e.loseAnswer {
		serve(discard{}, r, body)
		panic(http.ErrAbortHandler)
	}
	serve(w, r, body)
}

// before shows the faults that come ahead of a call's effect.
func (s *Server) before(e effects, w http.ResponseWriter, serve func()) {
	if e.cut {
		panic(http.ErrAbortHandler)
	}
	if e.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if e.delay > 0 {
		s.wait(e.delay)
	}
	serve()
}

// common takes the faults that any call shows.
func (s *Server) common(st *store, caller string) effects {
	now := s.clock.Now()
	var e effects
	_, e.cut = st.faults.TriggerFor(caller, FaultCut, now)
	_, e.down = st.faults.TriggerFor(caller, FaultDown, now)
	if slow, ok := st.faults.TriggerFor(caller, FaultSlow, now); ok {
		e.delay = slow.Delay()
	}
	return e
}

// ofWrite takes the faults that a write shows.
func (s *Server) ofWrite(st *store, caller string) effects {
	e := s.common(st, caller)
	if e.cut || e.down {
		return e
	}
	now := s.clock.Now()
	if _, e.drop = st.faults.TriggerFor(caller, FaultDrop, now); !e.drop {
		_, e.loseAnswer = st.faults.TriggerFor(caller, FaultLoseAnswer, now)
	}
	return e
}

func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Rows []row `json:"rows"`
	}
	s.act(func(st *store) { body.Rows = st.list(r.URL.Query().Get("prefix")) })
	answer(w, http.StatusOK, body)
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	var found row
	s.act(func(st *store) { found = st.row(r.URL.Query().Get("key")) })
	answer(w, http.StatusOK, found)
}

func (s *Server) postCommit(w http.ResponseWriter, _ *http.Request, body []byte) {
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var conflicts []string
	var versions []uint64
	s.act(func(st *store) { conflicts, versions = st.commit(tx) })
	if len(conflicts) > 0 {
		answer(w, http.StatusConflict, map[string][]string{"conflicts": conflicts})
		return
	}
	answer(w, http.StatusOK, map[string][]uint64{"versions": versions})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	var body []byte
	var found bool
	s.act(func(st *store) {
		st.counts.ObjectReads++
		body, found = st.objects[r.PathValue("key")]
	})
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body) // the caller may have gone
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, body []byte) {
	s.act(func(st *store) {
		st.counts.ObjectWrites++
		st.objects[r.PathValue("key")] = body
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	var body struct {
		Hosts []host `json:"hosts"`
	}
	s.act(func(st *store) { body.Hosts = st.hosts(s.clock.Now()) })
	answer(w, http.StatusOK, body)
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request, body []byte) {
	var h host
	if err := json.Unmarshal(body, &h); err != nil || h.ID != r.PathValue("id") {
		http.Error(w, "host does not fit the path", http.StatusBadRequest)
		return
	}
	s.act(func(st *store) { st.putHost(h, s.clock.Now()) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.Counts())
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	order, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(order)
	w.WriteHeader(http.StatusNoContent)
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
