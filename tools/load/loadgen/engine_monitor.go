package loadgen

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

const (
	// pollEvery is how often engines' load reports are read.
	pollEvery = time.Second
	// pollTimeout bounds one reading.
	pollTimeout = 2 * time.Second
)

// engineWatch reads what engines report during a run. It belongs to one goroutine.
type engineWatch struct {
	client   *engine.Client
	engines  []string
	first    map[core.Incarnation]uint64 // preemptions at the first reading
	last     map[core.Incarnation]uint64
	restarts int // incarnations that began during the run
	began    bool
}

func newEngineWatch(client *engine.Client, engines []string) *engineWatch {
	return &engineWatch{
		client:  client,
		engines: engines,
		first:   map[core.Incarnation]uint64{},
		last:    map[core.Incarnation]uint64{},
	}
}

// run reads the reports until the context ends, and once more then.
func (w *engineWatch) run(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	w.poll()
	w.began = true
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		w.poll()
	}
}

// poll reads the report of each engine. One that does not answer is passed over.
func (w *engineWatch) poll() {
	for _, address := range w.engines {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		report, err := w.client.LoadReport(ctx, core.TargetID(address), address)
		cancel()
		if err != nil {
			continue
		}
		if _, known := w.last[report.Incarnation]; !known {
			w.meet(report)
		}
		w.last[report.Incarnation] = report.Preemptions
	}
}

// meet notes an incarnation that was not seen before.
func (w *engineWatch) meet(report core.LoadReport) {
	if w.began {
		w.restarts++
		return
	}
	w.first[report.Incarnation] = report.Preemptions
}

// preemptions returns the preemptions since the first reading.
func (w *engineWatch) preemptions() uint64 {
	var sum uint64
	for incarnation, last := range w.last {
		sum += last - w.first[incarnation]
	}
	return sum
}
