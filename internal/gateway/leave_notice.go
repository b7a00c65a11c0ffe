package gateway

// leaveNotice is what has told a host that an engine leaves.
type leaveNotice string

const (
	// noticeEntry is the engine's entry in the registry.
	noticeEntry leaveNotice = "entry"
	// noticeNoEntry is the absence of an entry.
	noticeNoEntry leaveNotice = "no_entry"
	// noticeReport is the engine's own report.
	noticeReport leaveNotice = "report"
)
