package engineserver

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// noTime is the zero time; it marks an unset time.
var noTime time.Time

// collectLoad builds a load report from the current state.
func (e *engine) collectLoad(now time.Time) loadReport {
	report := loadReport{
		Incarnation: e.incarnation,
		Streams:     []loadStream{},
		MemoryUsed:  e.batch.usedTokens,
		MemoryTotal: e.batch.memoryTokens,
		Preemptions: e.batch.preemptions,
		CacheFlush:  e.cache.flushes,
		Leaving:     e.leaving,
		at:          now,
	}
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		report.Streams = append(report.Streams, loadStream{ID: s.id, Context: s.context()})
	}
	slices.SortFunc(report.Streams, func(a, b loadStream) int { return cmp.Compare(a.ID, b.ID) })
	return report
}

// currentLoad returns the most recently published load report and sets its age.
func (e *engine) currentLoad() loadReport {
	now := e.clock.Now()
	report := e.publishedLoad
	if e.options.LoadLag == 0 {
		report = e.collectLoad(now)
	}
	report.AgeMS = now.Sub(report.at).Milliseconds()
	return report
}

// cacheEvents returns the published cache events after a sequence number.
func (e *engine) cacheEvents(after uint64) cachePage {
	return e.cache.page(after, e.clock.Now().Add(-e.options.CacheLag))
}

// state reports the engine's role and models.
func (e *engine) state() stateReport {
	report := stateReport{Incarnation: e.incarnation, Role: e.role, Fence: e.fence, Models: []modelEntry{}}
	for _, entry := range e.models {
		entry.State = "ready"
		if e.clock.Now().Before(entry.readyAt) {
			entry.State = "loading"
		}
		report.Models = append(report.Models, entry)
	}
	return report
}

// readyVersion returns the most recently loaded version of a model that is ready.
func (e *engine) readyVersion(model string) (version string, ok bool) {
	for _, entry := range slices.Backward(e.models) {
		if entry.Model == model && !e.clock.Now().Before(entry.readyAt) {
			return entry.Version, true
		}
	}
	return "", false
}

// applyOrder carries out a control order. It reports whether the response must be dropped.
func (e *engine) applyOrder(o order) (dropResponse bool, err error) {
	if e.options.ChecksFences && o.Fence < e.fence {
		return false, &statusError{http.StatusConflict, "stale_fence"}
	}
	switch o.Kind {
	case "load":
		e.loadModel(o)
	case "unload":
		e.models = slices.DeleteFunc(e.models, func(m modelEntry) bool {
			return m.Model == o.Model && m.Version == o.Version
		})
	case "role":
		e.role = o.Role
	default:
		return false, &statusError{http.StatusBadRequest, "unknown_order"}
	}
	e.fence = max(e.fence, o.Fence)
	_, dropResponse = e.faults.Trigger(FaultLoseOrder, e.clock.Now())
	return dropResponse, nil
}

// loadModel starts to load a model version, or adds an adapter to it, unless present.
func (e *engine) loadModel(o order) {
	at := slices.IndexFunc(e.models, func(m modelEntry) bool {
		return m.Model == o.Model && m.Version == o.Version
	})
	readyAt := e.clock.Now().Add(e.options.LoadTime)
	if at < 0 {
		e.models = append(e.models, modelEntry{Model: o.Model, Version: o.Version, readyAt: readyAt})
		at = len(e.models) - 1
		if e.options.OnLoad != nil {
			e.options.OnLoad(o.Version, e.clock.Now(), e.options.LoadTime)
		}
	}
	if o.Adapter != "" && !slices.Contains(e.models[at].Adapters, o.Adapter) {
		e.models[at].Adapters = append(slices.Clone(e.models[at].Adapters), o.Adapter)
	}
}
