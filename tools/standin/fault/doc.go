// Package fault describes and tracks the faults that are injected into stand-ins through
// POST /stand-in/fault.
package fault
