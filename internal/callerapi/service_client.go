package callerapi

import (
	"context"
	"net/http"
)

// Services is the client of plain services as the front uses it. Failures have the types
// of package service.
type Services interface {
	// Do sends a copy of the call to the service at the address, at most once.
	Do(ctx context.Context, address string, call *http.Request) (*http.Response, error)
}
