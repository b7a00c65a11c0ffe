package main

import "time"

// sentRequest is one request that a client has sent, with its outcome.
type sentRequest struct {
	id         string
	key        string
	atMostOnce bool // must not run more than once
	stream     bool
	resumable  bool // may run more than once
	sentAt     time.Time
	endedAt    time.Time
	outcome    outcome
	host       string
	answered   bool          // a complete response has arrived, whatever its status
	uploading  time.Duration // pause within the body
	abandoned  bool          // the run ended, or the caller's link broke, before the response
	beginsLate bool          // an engine loses the connection before it begins to run the request
	linkBroken bool          // the caller's link broke, without a fault of the deployment
}
