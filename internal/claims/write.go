package claims

import "siskintide.example/siskintide/internal/core"

// write is one queued conditional write to the platform.
type write struct {
	condition core.Condition
	value     []byte
	done      chan<- error // receives the outcome; buffered, so that sending does not block
}
