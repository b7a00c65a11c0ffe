package gateway

import "context"

// Reporter asks engines for what they say of themselves.
type Reporter interface {
	// Report returns the report of the engine at an address.
	Report(ctx context.Context, at string) (EngineReport, error)
}
