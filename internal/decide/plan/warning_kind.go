package plan

// WarningKind is the machine-readable type of a warning.
type WarningKind string

const (
	// WarnUnreachable means that hosts cannot be reached now; they continue with their old revision.
	WarnUnreachable WarningKind = "not_yet_in_force"
	// WarnUnknownLoad means that the expected load does not include targets without a known load.
	WarnUnknownLoad WarningKind = "load_unknown"
	// WarnWarming means that the remaining targets can carry the load only once they are warm.
	WarnWarming WarningKind = "targets_not_warm"
	// WarnOverload means that the operator accepted a load beyond the warm bounds.
	WarnOverload WarningKind = "overload_accepted"
	// WarnReload means that targets load weights and take less work during that time.
	WarnReload WarningKind = "weights_reload"
	// WarnUnserved means that callers of a model or service will be refused.
	WarnUnserved WarningKind = "unserved"
	// WarnStaleBase means that the platform was not reached, so the base may be stale.
	WarnStaleBase WarningKind = "base_may_be_old"
)
