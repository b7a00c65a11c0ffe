package callerapi

import (
	"context"
	"net/http"
)

// ServiceClient sends calls to plain services. Its errors have the types of package
// service.
type ServiceClient interface {
	// Do sends a copy of the call to the service at the address, at most once.
	Do(ctx context.Context, address string, call *http.Request) (*http.Response, error)
}
