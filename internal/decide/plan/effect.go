package plan

import "siskintide.example/siskintide/internal/core"

// Effect says what a plan means for one target.
type Effect struct {
	Target     core.TargetID     `json:"target"`
	DataCentre core.DataCentreID `json:"data_centre"`
	Kind       EffectKind        `json:"kind"`
	Streams    int               `json:"streams"` // running and queued now
	Known      bool              `json:"known"`   // the number of streams is known
}
