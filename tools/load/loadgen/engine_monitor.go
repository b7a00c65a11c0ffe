package loadgen

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

const (
	// pollInterval is the time between two readings of the engines' load reports.
	pollInterval = time.Second
	// pollTimeout bounds one request for a load report.
	pollTimeout = 2 * time.Second
)

// engineMonitor polls the engines' load reports during a run and counts preemptions and
// restarts. It is used by one goroutine only.
type engineMonitor struct {
	client           *engine.Client
	engines          []string
	firstPreemptions map[core.Incarnation]uint64 // at the first reading of each incarnation
	lastPreemptions  map[core.Incarnation]uint64 // at the latest reading
	restarts         int                         // incarnations first seen after the initial poll
	started          bool                        // the initial poll is done
}

func newEngineMonitor(client *engine.Client, engines []string) *engineMonitor {
	return &engineMonitor{
		client:           client,
		engines:          engines,
		firstPreemptions: map[core.Incarnation]uint64{},
		lastPreemptions:  map[core.Incarnation]uint64{},
	}
}

// run polls until the context ends, and once more after that.
func (m *engineMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	m.poll()
	m.started = true
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		m.poll()
	}
}

// poll reads the load report of each engine. Engines that do not respond are skipped.
func (m *engineMonitor) poll() {
	for _, address := range m.engines {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		report, err := m.client.LoadReport(ctx, core.TargetID(address), address)
		cancel()
		if err != nil {
			continue
		}
		if _, known := m.lastPreemptions[report.Incarnation]; !known {
			m.addIncarnation(report)
		}
		m.lastPreemptions[report.Incarnation] = report.Preemptions
	}
}

// addIncarnation records a new incarnation: as a restart after the initial poll, else with
// its preemption count as the base.
func (m *engineMonitor) addIncarnation(report core.LoadReport) {
	if m.started {
		m.restarts++
		return
	}
	m.firstPreemptions[report.Incarnation] = report.Preemptions
}

// preemptions returns the number of preemptions since the initial poll.
func (m *engineMonitor) preemptions() uint64 {
	var sum uint64
	for incarnation, last := range m.lastPreemptions {
		sum += last - m.firstPreemptions[incarnation]
	}
	return sum
}
