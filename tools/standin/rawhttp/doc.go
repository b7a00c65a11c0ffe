// Package rawhttp is a stand-in for an HTTP server that responds with given bytes, whether or not they are valid HTTP.
package rawhttp
