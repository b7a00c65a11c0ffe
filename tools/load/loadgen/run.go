package loadgen

import (
	"context"
	"time"
)

// sampleBuffer is the capacity of the samples channel, so that requests can end while the
// recorder is busy.
const sampleBuffer = 1024

// Run generates the load and returns the report. It returns an *OptionError for invalid
// options. Cancelling the context ends the run early, still with a report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	d := newDriver(options)
	defer d.client.CloseIdleConnections()
	pollCtx, stopPolling := context.WithCancel(context.Background())
	defer stopPolling()
	monitor := newEngineMonitor(d.engines, options.Engines)
	monitorDone := make(chan struct{})
	go func() {
		monitor.run(pollCtx)
		close(monitorDone)
	}()

	recorder := newRecorder(time.Now())
	recorderDone := make(chan struct{})
	go func() {
		recorder.run(d.samples)
		close(recorderDone)
	}()
	d.run(ctx)
	<-recorderDone
	report := recorder.report(time.Since(recorder.started))
	stopPolling()
	<-monitorDone
	if len(options.Engines) > 0 {
		report.Engines = &EngineStats{Preemptions: monitor.preemptions(), Restarts: monitor.restarts}
	}
	report.Seed, report.Direct, report.Checked = options.Seed, options.Direct, options.CheckVersion != ""
	return report, nil
}
