package commandline

import (
	"encoding/json"
	"fmt"
	"os"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatortext"
	"siskintide.example/siskintide/internal/settings"
)

func runTakeOut(s *session) error { return s.changeDataCentre(plan.TakeOut) }
func runReturn(s *session) error  { return s.changeDataCentre(plan.Return) }
func runDrain(s *session) error   { return s.changeTargets(plan.Drain) }
func runUndrain(s *session) error { return s.changeTargets(plan.Undrain) }

func (s *session) changeDataCentre(kind plan.Kind) error {
	values := s.arguments.positionals()
	if len(values) != 1 {
		return &InputError{Argument: string(kind), Got: fmt.Sprint(values), Accepted: "one data centre"}
	}
	return s.planAndConfirm(plan.Intent{Kind: kind, DataCentre: core.DataCentreID(values[0])})
}

func (s *session) changeTargets(kind plan.Kind) error {
	intent := plan.Intent{Kind: kind}
	for _, value := range s.arguments.positionals() {
		intent.Targets = append(intent.Targets, core.TargetID(value))
	}
	return s.planAndConfirm(intent)
}

func runBringIn(s *session) error {
	values := s.arguments.positionals()
	if len(values) != 2 {
		return &InputError{Argument: "bring-in", Got: fmt.Sprint(values), Accepted: "a model and a version"}
	}
	return s.planAndConfirm(plan.Intent{
		Kind:        plan.BringIn,
		Model:       core.ModelID(values[0]),
		Version:     core.ModelVersion(values[1]),
		WeightBytes: s.arguments.weightBytes,
	})
}

func runApply(s *session) error {
	intent, err := s.applyIntent()
	if err != nil {
		return err
	}
	return s.planAndConfirm(intent)
}

// runInit applies declarations to a deployment that has no accepted configuration yet.
func runInit(s *session) error {
	intent, err := s.applyIntent()
	if err != nil {
		return err
	}
	client, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	if status.Accepted > 0 {
		got := fmt.Sprintf("a deployment with accepted revision %d", status.Accepted)
		return &InputError{Argument: "init", Got: got, Accepted: "a deployment without one; use apply"}
	}
	return s.planAndConfirm(intent)
}

func runPlan(s *session) error {
	intent, err := s.applyIntent()
	if err != nil {
		return err
	}
	s.arguments.planOnly = true
	return s.planAndConfirm(intent)
}

// applyIntent returns the intent to apply the declarations in the given files.
func (s *session) applyIntent() (plan.Intent, error) {
	config, err := settings.LoadDeclarations(s.arguments.positionals()...)
	if err != nil {
		return plan.Intent{}, err
	}
	return plan.Intent{Kind: plan.ApplyDeclarations, Declarations: config}, nil
}

// planAndConfirm requests a plan, shows it, asks the operator and confirms it.
func (s *session) planAndConfirm(intent plan.Intent) error {
	intent.AcceptOverload = s.arguments.acceptOverload
	intent.AcceptUnserved = s.arguments.acceptUnserved
	client, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	proposed, err := client.Plan(s.ctx, intent)
	if err != nil {
		return err
	}
	return s.showAndConfirm(proposed)
}

func (s *session) showAndConfirm(proposed *plan.Plan) error {
	text := func() error { return operatortext.WritePlan(s.env.Out, proposed) }
	if err := s.show(proposed, text); err != nil {
		return err
	}
	if s.arguments.planOnly {
		return nil
	}
	if !s.askToConfirm(fmt.Sprintf("Confirm plan %s on revision %d?", proposed.ID, proposed.Base)) {
		return &DeclinedError{Plan: proposed.ID}
	}
	return s.confirm(proposed)
}

func (s *session) confirm(proposed *plan.Plan) error {
	client, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	confirmed, err := client.Confirm(s.ctx, proposed)
	if err != nil {
		return err
	}
	return s.show(confirmed, func() error {
		note := "Accepted"
		if confirmed.Repeated {
			note = "Already accepted"
		}
		_, err := fmt.Fprintf(s.env.Out, "%s as revision %d. See where it is in force with: siskintide status\n", note, confirmed.Revision)
		return err
	})
}

// runConfirm shows and confirms a plan that an earlier run wrote as JSON.
func runConfirm(s *session) error {
	values := s.arguments.positionals()
	if len(values) != 1 {
		return &InputError{Argument: "confirm", Got: fmt.Sprint(values), Accepted: "one file"}
	}
	text, err := os.ReadFile(values[0])
	if err != nil {
		return &settings.ReadError{Path: values[0], Err: err}
	}
	proposed := &plan.Plan{}
	if err := json.Unmarshal(text, proposed); err != nil || proposed.ID == "" {
		return &InputError{Argument: values[0], Got: "no plan", Accepted: "the output of a plan with --output json"}
	}
	return s.showAndConfirm(proposed)
}
