package serviceserver

import (
	"net/http"
	"time"
)

// call is one call that runs.
type call struct {
	r       *http.Request
	body    []byte
	lost    <-chan struct{} // closed when the process that runs the call is lost
	latency time.Duration
	drop    bool
	die     bool
}
