// Package retrybudget decides how many second sends one host may add to a pool's load, so that
// all hosts together stay under the deployment's bound without asking each other: each
// takes an equal share of the constant part, and of the part in proportion to requests
// what its own requests earn.
package retrybudget
