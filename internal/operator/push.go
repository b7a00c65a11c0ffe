package operator

import (
	"net/http"

	"siskintide.example/siskintide/internal/configcodec"
	"siskintide.example/siskintide/internal/operatorapi"
)

// acceptedConfig replies with the configuration in force at this host, sealed so that an
// operator can push it to a host without access to the platform.
func (s *server) acceptedConfig(w http.ResponseWriter, _ *http.Request) {
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

// push puts a pushed configuration in force if its seal is valid and its revision is higher.
// The revision in force at a host never decreases.
func (s *server) push(w http.ResponseWriter, r *http.Request) {
	sealed := operatorapi.SealedConfig{}
	if !s.decode(w, r, &sealed) {
		return
	}
	if !configcodec.VerifySeal(s.options.Key, sealed.Body, sealed.Seal) {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.InvalidSeal, Message: "the carried configuration is not sealed with this deployment's operator key"})
		return
	}
	config, err := configcodec.Decode(sealed.Body)
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
