package gateway

import "time"

// ResponseInfo is the metadata in the status and headers of a target's response.
type ResponseInfo struct {
	RequestID   string        // id of the request that the response belongs to; empty if not given
	NotRun      bool          // the target did not run the request
	Misdirected bool          // another target uses the address now
	Signed      bool          // the response has a signature header
	Rest        time.Duration // time for which the target asks to be sent nothing; zero for none
	Leaving     bool          // the target says that it leaves
	RateLimit   *float64      // requests per second that the target takes from all hosts together; nil if it names none
}
