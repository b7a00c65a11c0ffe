package operator

import (
	"errors"
	"net/http"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorapi"
)

// plan replies with the plan for an intent. It changes nothing.
func (s *server) plan(w http.ResponseWriter, r *http.Request) {
	intent := plan.Intent{}
	if !s.decode(w, r, &intent) || !s.checkIntent(w, intent) {
		return
	}
	current, stale := s.baseConfig(r)
	if current == nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.PlatformUnavailable, Message: "neither the platform nor this host knows the accepted configuration"})
		return
	}
	proposed, err := computePlan(current, intent, s.options.State.Load())
	if err != nil {
		s.fail(w, failureOf(err))
		return
	}
	if stale {
		detail := "the platform was not reached; the plan is based on what this host has in force and can be confirmed once the platform is back"
		proposed.Warnings = append(proposed.Warnings, plan.Warning{Kind: plan.WarnStaleBase, Detail: detail})
	}
	s.reply(w, proposed)
}

// baseConfig returns the accepted configuration. If it cannot be read, baseConfig returns the
// configuration in force at this host, which may be out of date.
func (s *server) baseConfig(r *http.Request) (config *core.Config, stale bool) {
	accepted, err := readAccepted(r.Context(), s.options.Store)
	if err == nil {
		return accepted, false
	}
	s.options.Log.WithError(err).Warn("accepted configuration not read; using the configuration in force")
	return s.inForce(), true
}

// computePlan computes a plan and checks the configuration that results from it.
func computePlan(current *core.Config, intent plan.Intent, load plan.Load) (*plan.Plan, error) {
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

// checkIntent checks the declarations of an intent. If they have faults, it replies with a
// failure and returns false.
func (s *server) checkIntent(w http.ResponseWriter, intent plan.Intent) bool {
	if intent.Declarations == nil {
		return true
	}
	if err := configcheck.Check(intent.Declarations, false); err != nil {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Inconsistent, Message: err.Error()})
		return false
	}
	return true
}

// failureOf returns the failure to reply with after an error.
func failureOf(err error) *operatorapi.Failure {
	var refusal *plan.Refusal
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &refusal):
		return &operatorapi.Failure{Type: operatorapi.Refused, Message: refusal.Message, Refusal: refusal}
	case errors.As(err, &unavailable):
		return &operatorapi.Failure{Type: operatorapi.PlatformUnavailable, Message: unavailable.Error()}
	}
	return &operatorapi.Failure{Type: operatorapi.InternalFailure, Message: err.Error()}
}
