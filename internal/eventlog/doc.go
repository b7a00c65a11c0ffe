// Package eventlog writes JSON log lines without ever holding up who logs: lines beyond a
// rate, or beyond what a stalled reader takes, are left out and counted.
package eventlog
