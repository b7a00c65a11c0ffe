package relay

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// Job is one caller's request.
type Job struct {
	Demand    core.Demand    // Generation and Avoid are set by the relay
	Request   engine.Request // parameters of the generation, the same for every rerun
	Resume    *Position      // nil for a new request
	Rerunable bool           // Request is known, so that the generation can be rerun
	Resumable bool           // the caller gets event ids and may come back
}
