// Package gateway forwards callers' requests to registered targets: calls to plain
// services, and streams that continue on another engine when the engine that generates
// them fails or leaves. A Codec defines how requests, attempts and responses are
// represented in HTTP headers.
package gateway
