package operator

import (
	"fmt"
	"net/http"
	"slices"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/confirm"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorapi"
)

// confirm makes a plan part of the accepted configuration.
func (s *server) confirm(w http.ResponseWriter, r *http.Request) {
	confirmation := operatorapi.ConfirmRequest{}
	if s.decode(w, r, &confirmation) && s.checkIntent(w, confirmation.Intent) {
		s.runConfirmation(w, r, confirmation)
	}
}

// init accepts the first configuration.
func (s *server) init(w http.ResponseWriter, r *http.Request) {
	confirmation := operatorapi.ConfirmRequest{}
	if !s.decode(w, r, &confirmation) || !s.checkIntent(w, confirmation.Intent) {
		return
	}
	if confirmation.Base != 0 || confirmation.Intent.Kind != plan.ApplyDeclarations {
		s.fail(w, &operatorapi.Failure{Type: operatorapi.Malformed, Message: "the first configuration is made of declarations on revision 0"})
		return
	}
	s.runConfirmation(w, r, confirmation)
}

// runConfirmation runs a confirmation to its end and replies with the outcome.
func (s *server) runConfirmation(w http.ResponseWriter, r *http.Request, confirmation operatorapi.ConfirmRequest) {
	machine := confirm.New(confirm.Request{
		Plan:   confirmation.Plan,
		Base:   confirmation.Base,
		Intent: confirmation.Intent,
		Load:   s.options.State.Load(),
	}, s.options.Clock.Now())
	finish := newRunner(s.options.Store, s.options.Clock).run(r.Context(), machine)
	s.options.Log.WithField("plan", confirmation.Plan).WithField("outcome", finish.Outcome).WithField("revision", finish.Revision).Info("confirmation")
	if finish.Config != nil && finish.Config.Revision > 0 {
		s.options.OfferConfig(finish.Config)
	}
	s.replyOutcome(w, r, confirmation, finish)
}

func (s *server) replyOutcome(w http.ResponseWriter, r *http.Request, confirmation operatorapi.ConfirmRequest, finish confirm.Finish) {
	switch finish.Outcome {
	case confirm.Accepted, confirm.AlreadyAccepted:
		repeated := finish.Outcome == confirm.AlreadyAccepted
		s.reply(w, &operatorapi.ConfirmResponse{Plan: confirmation.Plan, Revision: finish.Revision, Repeated: repeated})
	case confirm.Refused:
		s.fail(w, failureOf(finish.Refusal))
	case confirm.Conflicted:
		s.fail(w, s.conflict(r, confirmation, finish.Config))
	case confirm.Unavailable:
		s.fail(w, &operatorapi.Failure{Type: operatorapi.PlatformUnavailable, Message: "the platform did not answer; nothing was changed"})
	default:
		s.fail(w, &operatorapi.Failure{Type: operatorapi.OutcomeUnknown, Message: "the platform did not answer in time; the plan may still take effect. Confirm the same plan again: it takes effect at most once"})
	}
}

// conflict describes the changes that were accepted first and plans the same intent again.
func (s *server) conflict(r *http.Request, confirmation operatorapi.ConfirmRequest, current *core.Config) *operatorapi.Failure {
	conflict := &operatorapi.Conflict{Base: confirmation.Base, Current: current.Revision, Plans: plansSince(current, confirmation.Base)}
	if base := s.readRevision(r, current, confirmation.Base); base != nil {
		conflict.Steps = plan.Difference(base, current)
	}
	proposed, err := computePlan(current, confirmation.Intent, s.options.State.Load())
	if err != nil {
		conflict.Refusal = failureOf(err).Refusal
	}
	conflict.Plan = proposed
	message := fmt.Sprintf("the plan was based on revision %d, but revision %d is accepted; it changed nothing and has to be read again", confirmation.Base, current.Revision)
	return &operatorapi.Failure{Type: operatorapi.Conflicted, Message: message, Conflict: conflict}
}

// plansSince returns the plans that were confirmed after a revision, as far back as the
// configuration records them.
func plansSince(current *core.Config, base core.Revision) []core.PlanID {
	if base >= current.Revision {
		return []core.PlanID{}
	}
	count := min(int(current.Revision-base), len(current.Plans))
	return slices.Clone(current.Plans[len(current.Plans)-count:])
}

// readRevision returns the configuration of an earlier revision, or nil if it cannot be read.
func (s *server) readRevision(r *http.Request, current *core.Config, wanted core.Revision) *core.Config {
	if wanted == 0 || wanted >= current.Revision || int(current.Revision-wanted) >= len(current.Plans) {
		return nil
	}
	id := current.Plans[len(current.Plans)-1-int(current.Revision-wanted)]
	config, err := readBody(r.Context(), s.options.Store, confirm.ObjectKey(wanted, id))
	if err != nil {
		return nil
	}
	return config
}
