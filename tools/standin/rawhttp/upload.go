package rawhttp

import "time"

const (
	// UploadBytes is more than the buffers of a connection hold, so that a client is still sending a body of that size as
	// long as its server does not read it.
	UploadBytes = 16 << 20
	// ResponseTime is a time in which a response arrives before its connection is reset.
	ResponseTime = 5 * time.Millisecond
)
