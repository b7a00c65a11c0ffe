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
		writeConflict(w, failure.Conflict)
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

func writeConflict(w *writer, conflict *operatorapi.Conflict) {
	w.line("Confirmed since revision %d: %v", conflict.Base, conflict.Plans)
	if len(conflict.Steps) > 0 {
		w.line("What changed meanwhile:")
	}
	writeSteps(w, conflict.Steps)
	w.line("")
	if conflict.Refusal != nil {
		writeRefusal(w, conflict.Refusal)
	}
	if conflict.Plan != nil && w.err == nil {
		w.line("The same intent on revision %d, to be read and confirmed anew:", conflict.Current)
		w.err = WritePlan(w.out, conflict.Plan)
	}
}
