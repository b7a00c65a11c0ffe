// Package operator serves the operators' HTTP interface on the admin listener: plans,
// confirmations, status, and accepted configurations that are carried by hand. Every call
// needs the operator key; a call without it changes nothing.
package operator
