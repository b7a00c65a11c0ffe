// Package retrybudget limits the retries that one host may add to a pool's load, so that
// all hosts together stay below the deployment's bound without coordination. The bound has
// a constant part, of which each host takes an equal share, and a part in proportion to
// requests, of which each host takes what its own requests earn.
package retrybudget
