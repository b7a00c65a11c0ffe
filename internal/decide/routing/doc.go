// Package routing chooses the owner host from which an entry host requests a ticket.
package routing
