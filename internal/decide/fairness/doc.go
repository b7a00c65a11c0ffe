// Package fairness orders waiting requests: by priority first, and among teams of one
// priority by the tokens that they have been served relative to their weights.
package fairness
