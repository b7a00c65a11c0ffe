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
	sum := make(chan uint64, 1)
	go newPreemptions(d.engines, options.Engines).run(pollCtx, sum)

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
	if preempted := <-sum; len(options.Engines) > 0 {
		report.Preemptions = &preempted
	}
	report.Seed, report.Direct, report.Checked = options.Seed, options.Direct, options.Version != ""
	return report, nil
}
