package platformserver

import (
	"encoding/json"
	"io"
	"net/http"

	"siskintide.example/siskintide/tools/standin/fault"
)

// callerHeader carries the name of the calling host.
const callerHeader = "Calling-Host"

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 64 << 20

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("GET /table/rows", s.handleRead(s.getRows))
	s.mux.HandleFunc("GET /table/row", s.handleRead(s.getRow))
	s.mux.HandleFunc("POST /table/commit", s.handleWrite(s.postCommit))
	s.mux.HandleFunc("GET /objects/{key...}", s.handleRead(s.getObject))
	s.mux.HandleFunc("PUT /objects/{key...}", s.handleWrite(s.putObject))
	s.mux.HandleFunc("GET /hosts", s.handleRead(s.getHosts))
	s.mux.HandleFunc("PUT /hosts/{id}", s.handleWrite(s.putHost))
	s.mux.HandleFunc("GET /stand-in/counts", s.getCounts)
	s.mux.HandleFunc("POST /stand-in/fault", s.postFault)
}

// handleRead wraps the handler of a read with the faults that apply to every request.
func (s *Server) handleRead(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults callFaults
		s.do(func(st *store) { faults = s.triggerFaults(st, r.Header.Get(callerHeader)) })
		s.applyFaults(faults, w, func() { serve(w, r) })
	}
}

// handleWrite wraps the handler of a write with the faults that apply to writes. It reads
// the body first, so that a delayed write takes effect even if the client disconnects.
func (s *Server) handleWrite(serve func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var faults callFaults
		s.do(func(st *store) { faults = s.triggerWriteFaults(st, r.Header.Get(callerHeader)) })
		s.applyFaults(faults, w, func() { s.serveWrite(faults, w, r, body, serve) })
	}
}

// serveWrite runs the handler of a write unless the request is dropped, and discards the
// response if the fault lose_answer applies.
func (s *Server) serveWrite(faults callFaults, w http.ResponseWriter, r *http.Request, body []byte, serve func(http.ResponseWriter, *http.Request, []byte)) {
	if faults.drop {
		panic(http.ErrAbortHandler)
	}
	if faults.loseResponse {
		serve(discardWriter{}, r, body)
		panic(http.ErrAbortHandler)
	}
	serve(w, r, body)
}

// applyFaults injects the faults that come before a request takes effect, and then serves it.
func (s *Server) applyFaults(faults callFaults, w http.ResponseWriter, serve func()) {
	if faults.cut {
		panic(http.ErrAbortHandler)
	}
	if faults.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if faults.delay > 0 {
		s.delay(faults.delay)
	}
	serve()
}

// triggerFaults triggers the faults that apply to every request and returns those to inject.
func (s *Server) triggerFaults(st *store, caller string) callFaults {
	now := s.clock.Now()
	var faults callFaults
	_, faults.cut = st.faults.TriggerFor(caller, FaultCut, now)
	_, faults.down = st.faults.TriggerFor(caller, FaultDown, now)
	if slow, ok := st.faults.TriggerFor(caller, FaultSlow, now); ok {
		faults.delay = slow.Delay()
	}
	return faults
}

// triggerWriteFaults does the same for a write. Unless the request is cut or the platform is
// down, it also triggers the faults that apply only to writes.
func (s *Server) triggerWriteFaults(st *store, caller string) callFaults {
	faults := s.triggerFaults(st, caller)
	if faults.cut || faults.down {
		return faults
	}
	now := s.clock.Now()
	if _, faults.drop = st.faults.TriggerFor(caller, FaultDrop, now); !faults.drop {
		_, faults.loseResponse = st.faults.TriggerFor(caller, FaultLoseAnswer, now)
	}
	return faults
}

func (s *Server) getRows(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Rows []row `json:"rows"`
	}
	s.do(func(st *store) { body.Rows = st.listRows(r.URL.Query().Get("prefix")) })
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	var found row
	s.do(func(st *store) { found = st.row(r.URL.Query().Get("key")) })
	writeJSON(w, http.StatusOK, found)
}

func (s *Server) postCommit(w http.ResponseWriter, _ *http.Request, body []byte) {
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var conflicts []string
	var versions []uint64
	s.do(func(st *store) { conflicts, versions = st.commit(tx) })
	if len(conflicts) > 0 {
		writeJSON(w, http.StatusConflict, map[string][]string{"conflicts": conflicts})
		return
	}
	writeJSON(w, http.StatusOK, map[string][]uint64{"versions": versions})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	var body []byte
	var found bool
	s.do(func(st *store) {
		st.counts.ObjectReads++
		body, found = st.objects[r.PathValue("key")]
	})
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body) // the client may have disconnected
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, body []byte) {
	s.do(func(st *store) {
		st.counts.ObjectWrites++
		st.objects[r.PathValue("key")] = body
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	var body struct {
		Hosts []host `json:"hosts"`
	}
	s.do(func(st *store) { body.Hosts = st.hosts(s.clock.Now()) })
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request, body []byte) {
	var h host
	if err := json.Unmarshal(body, &h); err != nil || h.ID != r.PathValue("id") {
		http.Error(w, "host does not fit the path", http.StatusBadRequest)
		return
	}
	s.do(func(st *store) { st.putHost(h, s.clock.Now()) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	spec, err := fault.ReadSpec(w, r)
	if err != nil {
		return
	}
	s.InjectFault(spec)
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
