package claims

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Job is one call with an idempotency key.
type Job struct {
	TicketRequest core.TicketRequest // Generation is set by the executor
	Service       core.ServiceID
	Key           string        // the caller's idempotency key
	BodyHash      [16]byte      // hash of method, path and body
	Timeout       time.Duration // timeout of the service
	Retention     time.Duration // how long the key and its answer are kept
	// Send sends the call to the service at the address, at most once. After a
	// *service.UnsentError the call has not run; after any other error it may have run.
	Send func(ctx context.Context, address string) (Answer, error)
}
