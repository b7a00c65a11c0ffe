// Package registry keeps the set of registered targets. After an outage of the store it
// keeps targets whose entries are missing for a grace period, in which live targets
// register again.
package registry
