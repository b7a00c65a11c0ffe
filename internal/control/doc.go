// Package control runs the one goroutine that owns all mutable control state of a host.
// Events arrive on one channel, the state machines of internal/decide make the decisions,
// side effects are carried out through Effects, and an immutable snapshot is published for
// traffic after each event that changed what traffic sees.
package control
