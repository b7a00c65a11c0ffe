// Package operatorapi holds the request and response bodies of the operators' HTTP interface,
// which the daemon and the command-line tool share. All bodies are JSON.
package operatorapi
