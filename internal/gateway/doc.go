// Package gateway passes callers' requests on to registered targets: calls of plain
// services, and streams that outlive the engines that generate them. What a request, a
// send and an answer look like on the wire is the matter of a Codec.
package gateway
