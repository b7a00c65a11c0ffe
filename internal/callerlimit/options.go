package callerlimit

import (
	"net/http"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// Options configures a Limiter. All fields are required.
type Options struct {
	Listener callerbudget.Listener // for the log
	Limits   callerbudget.Limits   // until SetLimits
	// HeaderBytes returns the size that the configuration allows for a head.
	HeaderBytes func() int64
	// Timeouts returns the timeouts for the heads and the idle connections that begin now. It is called twice for each
	// request.
	Timeouts func() callerbudget.Timeouts
	// EncodeRefusal adds to the header of a refusal when the caller may come back; zero seconds for never.
	EncodeRefusal func(header http.Header, retryAfter float64)
	Metrics       Metrics
	Log           log.Interface
	Clock         boottime.Clock
}
