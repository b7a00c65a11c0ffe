package operatorapi

// FailureType is the machine-readable type of a failure.
type FailureType string

const (
	Unauthorized        FailureType = "unauthorized"         // wrong or missing operator key
	Malformed           FailureType = "malformed_request"    // the body is not valid for the call
	Inconsistent        FailureType = "inconsistent"         // declarations with faults
	Refused             FailureType = "refused"              // the intent cannot be planned
	Conflicted          FailureType = "changed_underneath"   // another change was accepted first
	PlatformUnavailable FailureType = "platform_unavailable" // the platform did not respond; nothing was changed
	OutcomeUnknown      FailureType = "outcome_unknown"      // the plan may still take effect; repeat the same confirmation
	NotInitialised      FailureType = "not_initialised"      // no configuration was accepted yet
	InvalidSeal         FailureType = "seal_wrong"           // the seal of a pushed configuration is not valid
	InternalFailure     FailureType = "internal"             // an error inside the daemon
)
