package operator

import (
	"net/http"

	"siskintide.example/siskintide/internal/configcodec"
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
	body, err := configcodec.Encode(config)
	if err != nil {
		s.fail(w, failureOf(err))
		return
	}
	s.reply(w, &operatorapi.SealedConfig{Revision: config.Revision, Body: body, Seal: configcodec.Seal(s.options.Key, body)})
}

// push puts a carried configuration in force if it is authentic and newer. Revisions at a
// host only grow.
func (s *server) push(w http.ResponseWriter, r *http.Request) {
	carried := operatorapi.SealedConfig{}
	if !s.decode(w, r, &carried) {
		return
	}
	if !configcodec.VerifySeal(s.options.Key, carried.Body, carried.Seal) {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.InvalidSeal, Message: "the carried configuration is not sealed with this deployment's operator key"})
		return
	}
	config, err := configcodec.Decode(carried.Body)
	if err != nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Inconsistent, Message: err.Error()})
		return
	}
	pushed := &operatorapi.PushResponse{Host: s.options.State.Snapshot().Self.ID}
	if before := s.inForce(); before != nil {
		pushed.Revision = before.Revision
	}
	if config.Revision > pushed.Revision {
		s.options.OfferConfig(config)
		pushed.Revision = config.Revision
		pushed.Applied = true
	}
	s.reply(w, pushed)
}
