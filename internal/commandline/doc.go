// Package commandline implements the operators' command-line tool. It parses arguments, calls
// the operators' interface of a host, shows plans and asks the operator to confirm them.
package commandline
