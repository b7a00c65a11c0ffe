// Package operatorapi holds the bodies of the operators' HTTP interface, which the daemon
// and the command-line tool share. All are JSON.
package operatorapi
