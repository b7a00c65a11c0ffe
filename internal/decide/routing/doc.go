// Package routing chooses, on an entry host, the owner host that is asked for a ticket.
package routing
