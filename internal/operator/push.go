package operator

import (
	"net/http"

	"siskintide.example/siskintide/internal/configbody"
	"siskintide.example/siskintide/internal/operatorapi"
)

// accepted answers with the configuration in force here, sealed so that an operator can
// carry it to a host that is cut off.
func (s *server) accepted(w http.ResponseWriter, _ *http.Request) {
	config := s.inForce()
	if config == nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.NotInitialised, Message: "no configuration is in force at this host"})
		return
	}
	body, err := configbody.Encode(config)
	if err != nil {
		s.fail(w, failureOf(err))
		return
	}
	s.reply(w, &operatorapi.Accepted{Revision: config.Revision, Body: body, Seal: configbody.Seal(s.options.Key, body)})
}

// push puts a carried configuration in force if it is authentic and newer. Revisions at a
// host only grow.
func (s *server) push(w http.ResponseWriter, r *http.Request) {
	carried := operatorapi.Accepted{}
	if !s.decode(w, r, &carried) {
		return
	}
	if !configbody.SealValid(s.options.Key, carried.Body, carried.Seal) {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.SealWrong, Message: "the carried configuration is not sealed with this deployment's operator key"})
		return
	}
	config, err := configbody.Decode(carried.Body)
	if err != nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Inconsistent, Message: err.Error()})
		return
	}
	pushed := &operatorapi.Pushed{Host: s.options.State.Snapshot().Self.ID}
	if before := s.inForce(); before != nil {
		pushed.Revision = before.Revision
	}
	if config.Revision > pushed.Revision {
		s.options.InForce(config)
		pushed.Revision = config.Revision
		pushed.Taken = true
	}
	s.reply(w, pushed)
}
