// Package ratelimit keeps the rates that targets in need name. A limit holds for all hosts together:
// each issuer of permits, which is a hub for itself and its subscribers, or a host without a hub, gets
// its share of the rate. If all targets of a pool are limited, a gate decides which requests get the
// permits, and tells the others when to come back.
package ratelimit
