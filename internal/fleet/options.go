package fleet

import (
	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/spend"
)

// Options configures a Loop. All fields but Share are required.
type Options struct {
	DataCentre core.DataCentreID // where this host stands
	Repeats    spend.Limits      // bound on second sends of all hosts
	Clock      boottime.Clock
	Log        log.Interface
	// Share tells the other hosts of this host's work. It must not wait.
	Share func(map[core.TargetID]placement.Load)
}
