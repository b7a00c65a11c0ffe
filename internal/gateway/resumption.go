package gateway

// resumption says who has asked an engine to go on with a stream from its last event.
type resumption string

const (
	notResumed      resumption = ""
	resumedByCaller resumption = "caller"
	resumedByHost   resumption = "host"
)
