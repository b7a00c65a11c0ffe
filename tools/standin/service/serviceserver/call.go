package serviceserver

import (
	"net/http"
	"time"
)

// call is one request to the service.
type call struct {
	r       *http.Request
	body    []byte
	crashed <-chan struct{} // closed when the process that runs the call crashes
	latency time.Duration
	drop    bool // FaultDrop applies: the call must not run
	die     bool // FaultDie applies: the process has crashed after the call ran
}
