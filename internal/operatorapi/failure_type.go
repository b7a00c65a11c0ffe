package operatorapi

// FailureType is the machine-readable type of a failure.
type FailureType string

const (
	Unauthorized        FailureType = "unauthorized"         // wrong or missing operator key
	Malformed           FailureType = "malformed_request"    // the body does not fit the call
	Inconsistent        FailureType = "inconsistent"         // declarations with faults
	Refused             FailureType = "refused"              // there is no plan for the intent
	Conflicted          FailureType = "changed_underneath"   // another change came first
	PlatformUnavailable FailureType = "platform_unavailable" // nothing was changed
	OutcomeUnknown      FailureType = "outcome_unknown"      // repeat the same confirmation
	NotInitialised      FailureType = "not_initialised"      // no configuration was accepted yet
	InvalidSeal         FailureType = "seal_wrong"           // a carried configuration is not authentic
	InternalFailure     FailureType = "internal"             // a fault of the daemon
)
