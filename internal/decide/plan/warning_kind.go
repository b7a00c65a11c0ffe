package plan

// WarningKind is the machine-readable type of a warning.
type WarningKind string

const (
	// WarnUnreachable means that hosts cannot be told now; they go on with their old revision.
	WarnUnreachable WarningKind = "not_yet_in_force"
	// WarnUnknownLoad means that the expected load leaves out targets that did not report.
	WarnUnknownLoad WarningKind = "load_unknown"
	// WarnWarming means that the remaining targets bear the load only once they are warm.
	WarnWarming WarningKind = "targets_not_warm"
	// WarnOverload means that the operator accepted load beyond warm bounds.
	WarnOverload WarningKind = "overload_accepted"
	// WarnReload means that targets load weights and take less work meanwhile.
	WarnReload WarningKind = "weights_reload"
	// WarnUnserved means that callers of a model or service will be refused.
	WarnUnserved WarningKind = "unserved"
	// WarnStaleBase means that the platform was not reached, so that the base may be old.
	WarnStaleBase WarningKind = "base_may_be_old"
)
