// Package registry keeps which targets are registered, which of them leave, and which
// absences after an outage of the store are not believed yet.
package registry
