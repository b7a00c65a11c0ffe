package loadgen

import (
	"context"
	"time"
)

// samplesQueued lets requests end while the recorder is busy.
const samplesQueued = 1024

// Run sends the load and returns what it showed. It returns an *OptionError for options
// that cannot work. A cancelled context ends the run early, with a report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	d := newDriver(options)
	defer d.client.CloseIdleConnections()
	pollCtx, stopPolling := context.WithCancel(context.Background())
	defer stopPolling()
	watch := newEngineWatch(d.engines, options.Engines)
	watched := make(chan struct{})
	go func() {
		watch.run(pollCtx)
		close(watched)
	}()

	recorder := newRecorder(time.Now())
	recorded := make(chan struct{})
	go func() {
		recorder.run(d.samples)
		close(recorded)
	}()
	d.drive(ctx)
	<-recorded
	report := recorder.report(time.Since(recorder.started))
	stopPolling()
	<-watched
	if len(options.Engines) > 0 {
		report.Engines = &EngineStats{Preemptions: watch.preemptions(), Restarts: watch.restarts}
	}
	report.Seed, report.Direct, report.Checked = options.Seed, options.Direct, options.CheckVersion != ""
	return report, nil
}
