// Package fairness orders waiting requests: first by priority, and within a priority by
// the tokens that each team has been served relative to its weight.
package fairness
