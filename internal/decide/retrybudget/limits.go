package retrybudget

import "time"

// Limits is the deployment's bound on retries, over all hosts.
type Limits struct {
	Ratio  float64       // retries for each request
	Slack  float64       // further retries in each window, independent of requests
	Window time.Duration // sliding window in which requests and retries are counted
}
