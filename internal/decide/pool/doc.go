// Package pool decides, on the owner host, which request runs on which of the targets
// that the host owns in one pool, and when. It is a state machine: each call is an event,
// and the returned effects are what the host must do. It reads no clock, does no I/O, and
// is not safe for concurrent use.
//
// A ticket counts as in use from its grant until it is closed, or until the target's own
// list of running streams no longer contains it. Such a list counts only if it is newer
// than the last moment at which the ticket's holder can have started the request. A lost
// close, a lost entry host, a late report or reordered messages can therefore leave
// capacity unused for a while, but never make the owner count capacity as free that is in
// use. If its holder is lost, a ticket is released after startWindow + settleMargin plus
// the age of a report and one poll of the target; at a target that lists no streams, it is
// released after Settings.ReleaseAfter.
package pool
