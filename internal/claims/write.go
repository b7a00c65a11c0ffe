package claims

import "siskintide.example/siskintide/internal/core"

// write is one conditional write on its way to the platform.
type write struct {
	condition core.Condition
	value     []byte
	done      chan<- error // takes the outcome without blocking
}
