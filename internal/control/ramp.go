package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// rampDuration is the time after which a returning data centre has its full share.
	rampDuration = 30 * time.Second
	// rampStart is the fraction of its share that a returning data centre starts with.
	rampStart = 0.1
)

// ramp records when data centres were taken back into service, so that their share of
// requests grows gradually.
type ramp struct {
	returned map[core.DataCentreID]time.Time
}

func newRamp() *ramp { return &ramp{returned: map[core.DataCentreID]time.Time{}} }

// update starts the ramp of data centres whose state a new configuration changes from out
// to in.
func (r *ramp) update(previous, next *core.Catalog, now time.Time) {
	if previous == nil {
		return
	}
	for _, centre := range next.Config.DataCentres {
		before := previous.DataCentre(centre.ID)
		if before != nil && before.State == core.StateOut && centre.State == core.StateIn {
			r.returned[centre.ID] = now
		}
	}
}

// share returns the fraction of its requests that a data centre may take now, from 0 to 1.
func (r *ramp) share(id core.DataCentreID, now time.Time) float64 {
	since, ok := r.returned[id]
	if !ok {
		return 1
	}
	elapsed := now.Sub(since)
	if elapsed >= rampDuration {
		delete(r.returned, id)
		return 1
	}
	return rampStart + (1-rampStart)*elapsed.Seconds()/rampDuration.Seconds()
}
