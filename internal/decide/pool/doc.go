// Package pool decides on the owner host which request runs on which of the targets that
// the host owns in one pool, and when. It is a state machine: each call is an event, the
// returned effects are what the host must do about it. It reads no clock and does no
// input or output, and it is not safe for concurrent use.
//
// A ticket counts as used from its grant until it is closed, or until the target's own
// list of running streams, known to be newer than the last moment at which the ticket's
// holder can have started it, does not name it. So a lost close, a dead entry host, a
// lagging report or a crossed answer leaves capacity unused for a while but never makes
// the owner believe in capacity that is not there. A ticket whose holder is lost is
// settled after startWindow + settleMargin, the age of a report and one poll of the
// target; at a target that lists no streams, after Settings.ReleaseAfter.
package pool
