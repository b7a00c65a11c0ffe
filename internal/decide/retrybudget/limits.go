package retrybudget

import "time"

// Limits is the deployment's bound on second sends, over all hosts.
type Limits struct {
	Ratio  float64       // second sends for each request
	Slack  float64       // second sends in a window beyond that
	Window time.Duration // sliding window in which both are counted
}
