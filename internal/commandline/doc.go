// Package commandline is the operators' command-line tool: it parses arguments, calls the
// operators' interface of an entry host, shows plans and asks before it confirms.
package commandline
