package operator

import (
	"errors"
	"net/http"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorapi"
)

// plan answers with the plan for an intent. It changes nothing.
func (s *server) plan(w http.ResponseWriter, r *http.Request) {
	intent := plan.Intent{}
	if !s.decode(w, r, &intent) || !s.consistent(w, intent) {
		return
	}
	current, old := s.base(r)
	if current == nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.PlatformUnavailable, Message: "neither the platform nor this host knows the accepted configuration"})
		return
	}
	proposed, err := compute(current, intent, s.options.State.Load())
	if err != nil {
		s.fail(w, failureOf(err))
		return
	}
	if old {
		detail := "the platform was not reached; the plan is based on what this host has in force and can be confirmed once the platform is back"
		proposed.Warnings = append(proposed.Warnings, plan.Warning{Kind: plan.WarnStaleBase, Detail: detail})
	}
	s.reply(w, proposed)
}

// base returns the accepted configuration. If the platform is away it is the one in force
// here, which may be old.
func (s *server) base(r *http.Request) (config *core.Config, old bool) {
	accepted, err := readAccepted(r.Context(), s.options.Store)
	if err == nil {
		return accepted, false
	}
	s.options.Log.WithError(err).Warn("plan without the platform")
	return s.inForce(), true
}

// compute returns a plan whose result has been checked as a whole.
func compute(current *core.Config, intent plan.Intent, load plan.Load) (*plan.Plan, error) {
	proposed, err := plan.Compute(current, intent, load)
	if err != nil {
		return nil, err
	}
	next, err := plan.Apply(current, proposed)
	if err != nil {
		return nil, err
	}
	if err := configcheck.Check(next, true); err != nil {
		return nil, &plan.Refusal{Reason: plan.InvalidResult, Message: err.Error()}
	}
	return proposed, nil
}

// consistent answers with a failure when an intent carries declarations with faults.
func (s *server) consistent(w http.ResponseWriter, intent plan.Intent) bool {
	if intent.Declarations == nil {
		return true
	}
	if err := configcheck.Check(intent.Declarations, false); err != nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Inconsistent, Message: err.Error()})
		return false
	}
	return true
}

// failureOf turns an error of planning into an answer.
func failureOf(err error) *operatorapi.Failure {
	var refusal *plan.Refusal
	var away *UnavailableError
	switch {
	case errors.As(err, &refusal):
		return &operatorapi.Failure{Type: operatorapi.Refused, Message: refusal.Message, Refusal: refusal}
	case errors.As(err, &away):
		return &operatorapi.Failure{Type: operatorapi.PlatformUnavailable, Message: away.Error()}
	}
	return &operatorapi.Failure{Type: operatorapi.InternalFailure, Message: err.Error()}
}
