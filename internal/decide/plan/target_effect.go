package plan

import "siskintide.example/siskintide/internal/core"

// TargetEffect is the effect of a plan on one target.
type TargetEffect struct {
	Target       core.TargetID     `json:"target"`
	DataCentre   core.DataCentreID `json:"data_centre"`
	Kind         TargetEffectKind  `json:"kind"`
	Streams      int               `json:"streams"` // running and queued now
	StreamsKnown bool              `json:"known"`   // the number of streams is known
}
