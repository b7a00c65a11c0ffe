// Package fault holds the faults that the stand-ins are told to show through
// POST /stand-in/fault.
package fault
