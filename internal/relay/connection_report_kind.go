package relay

// connectionReportKind is the kind of a connectionReport.
type connectionReportKind uint8

const (
	reportStarted connectionReportKind = iota + 1
	reportFrame
	reportDisconnected
	reportGenerationLost
	reportRefused
	reportExited // the last report of the goroutine
)
