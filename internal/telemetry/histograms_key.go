package telemetry

import "siskintide.example/siskintide/internal/core"

// histogramsKey identifies the histograms of one team and class.
type histogramsKey struct {
	team  core.TeamID
	class core.Class
}
