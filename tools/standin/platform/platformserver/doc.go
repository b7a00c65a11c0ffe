// Package platformserver is a stand-in for the platform's service: a transactional table,
// an object store and a list of hosts, all in memory. One goroutine owns the state.
//
// Faults of POST /stand-in/fault: "slow" delays every call by delay_ms before it takes
// effect, also when the caller has gone; "down" answers 503; "lose_answer" cuts the
// connection after a write took effect; "drop" cuts it before;
// "cut" cuts every call before it takes effect. With callers, the fault shows only to the
// hosts of these names, which clients give in the header Calling-Host.
package platformserver
