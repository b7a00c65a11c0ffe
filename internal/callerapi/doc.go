// Package callerapi implements the HTTP API for callers: completions, chat completions,
// the list of models, the resumption of streams and calls to plain services. It validates
// requests, writes responses and refusals, and retries service calls within the retry
// budget. Placement, reruns of generations and at-most-once calls are left to the packages
// that it uses.
package callerapi
