package telemetry

import "siskintide.example/siskintide/internal/core"

// seriesKey names the histograms of one team and class.
type seriesKey struct {
	team  core.TeamID
	class core.Class
}
