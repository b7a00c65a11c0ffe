package gateway

import "context"

// Reporter asks engines for what they say of themselves.
type Reporter interface {
	// Report returns the report of the engine at an address. It returns a *NoReportError if the engine has answered
	// without one, and a *NoResponseError if there was no response.
	Report(ctx context.Context, at string) (EngineReport, error)
}
