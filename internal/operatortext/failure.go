package operatortext

import (
	"io"

	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/operatorapi"
)

// WriteFailure writes why a call failed and how the operator can proceed.
func WriteFailure(out io.Writer, failure *operatorapi.Failure) error {
	w := &writer{out: out}
	switch {
	case failure.Refusal != nil:
		writeRefusal(w, failure.Refusal)
	case failure.Conflict != nil:
		w.line("Changed underneath: %s", failure.Message)
		writeChange(w, failure.Conflict)
	default:
		w.line("Failed (%s): %s", failure.Type, failure.Message)
	}
	return w.err
}

func writeRefusal(w *writer, refusal *plan.Refusal) {
	w.line("Refused (%s): %s", refusal.Reason, refusal.Message)
	if refusal.Nearest != nil {
		w.line("Nearest that would be planned: siskintide %s", FormatIntent(*refusal.Nearest))
	}
	switch refusal.Reason {
	case plan.Overload:
		w.line("To accept the overload, add --accept-overload.")
	case plan.LastOfPool:
		w.line("To leave callers without a target, add --accept-unserved.")
	}
}

func writeChange(w *writer, change *operatorapi.Conflict) {
	w.line("Confirmed since revision %d: %v", change.Base, change.Plans)
	if len(change.Steps) > 0 {
		w.line("What changed meanwhile:")
	}
	writeSteps(w, change.Steps)
	w.line("")
	if change.Refusal != nil {
		writeRefusal(w, change.Refusal)
	}
	if change.Plan != nil && w.err == nil {
		w.line("The same intent on revision %d, to be read and confirmed anew:", change.Current)
		w.err = WritePlan(w.out, change.Plan)
	}
}
