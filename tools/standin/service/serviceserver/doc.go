// Package serviceserver is a stand-in for a plain service whose calls may not be
// repeated. It answers any path and counts how often each Idempotency-Key ran. One
// goroutine owns its state.
//
// Faults of POST /stand-in/fault: "late" answers after delay_ms; "die" loses the process
// after a call ran and before its answer; "drop" cuts the connection before a call runs;
// "kill" loses the process now; "sick" fails health checks.
package serviceserver
