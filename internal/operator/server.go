package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"siskintide.example/siskintide/internal/operatorapi"
)

// maxRequestBytes bounds the size of a request; the largest expected declarations are well
// below it.
const maxRequestBytes = 16 << 20

// server handles the calls of operators. Its fields do not change after New.
type server struct {
	options   Options
	keyDigest [sha256.Size]byte // SHA-256 digest of the operator key
}

// New returns the handler for all paths below /operator/.
func New(options Options) http.Handler {
	s := &server{options: options, keyDigest: sha256.Sum256([]byte(options.Key))}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+operatorapi.PathPlan, s.plan)
	mux.HandleFunc("POST "+operatorapi.PathConfirm, s.confirm)
	mux.HandleFunc("POST "+operatorapi.PathInit, s.init)
	mux.HandleFunc("GET "+operatorapi.PathStatus, s.status)
	mux.HandleFunc("GET "+operatorapi.PathAccepted, s.acceptedConfig)
	mux.HandleFunc("POST "+operatorapi.PathPush, s.push)
	return s.requireKey(mux)
}

// requireKey rejects calls without the operator key and bounds the size of request bodies.
func (s *server) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.hasKey(r) {
			s.options.Log.WithField("path", r.URL.Path).WithField("remote", r.RemoteAddr).Warn("operator call without the key")
			s.fail(w, &operatorapi.Failure{Type: operatorapi.Unauthorized, Message: "the operator key is missing or wrong"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// hasKey reports whether a request carries the operator key. It compares digests in constant
// time, so that neither the content nor the length of the key leaks.
func (s *server) hasKey(r *http.Request) bool {
	given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	return bearer && s.options.Key != "" && subtle.ConstantTimeCompare(digest[:], s.keyDigest[:]) == 1
}

// decode decodes a request body. If that fails, it replies with a failure and returns false.
func (s *server) decode(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Malformed, Message: err.Error()})
		return false
	}
	return true
}

func (s *server) reply(w http.ResponseWriter, body any) { s.write(w, http.StatusOK, body) }

func (s *server) fail(w http.ResponseWriter, failure *operatorapi.Failure) {
	s.write(w, statusOf(failure.Type), failure)
}

func (s *server) write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.options.Log.WithError(err).Warn("response to operator not sent")
	}
}

// statusOf returns the HTTP status of a failure.
func statusOf(failure operatorapi.FailureType) int {
	switch failure {
	case operatorapi.Unauthorized:
		return http.StatusUnauthorized
	case operatorapi.Malformed, operatorapi.Inconsistent, operatorapi.InvalidSeal:
		return http.StatusBadRequest
	case operatorapi.Refused:
		return http.StatusUnprocessableEntity
	case operatorapi.Conflicted:
		return http.StatusConflict
	case operatorapi.PlatformUnavailable, operatorapi.OutcomeUnknown, operatorapi.NotInitialised:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
