package main

import (
	"fmt"
	"os"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

const (
	// dataCentres is the number of data centres over which hosts and targets are distributed.
	dataCentres = 1
	// settleTime is the wait before a measurement, in which links, leases and the first reads
	// settle.
	settleTime = 15 * time.Second
)

// measure runs one deployment without callers and returns its measurements as a point.
func measure(binDir, sweep string, s size, window time.Duration) (p point, err error) {
	dir, err := os.MkdirTemp("", "siskintide-capacity-")
	if err != nil {
		return point{}, fmt.Errorf("create temporary directory: %w", err)
	}
	defer os.RemoveAll(dir)
	d, err := cluster.New(dir, clusterLayout(binDir, s))
	if err != nil {
		return point{}, err
	}
	defer func() {
		if stopErr := d.StopAll(); err == nil {
			err = stopErr
		}
	}()
	if err := d.Start(); err != nil {
		return point{}, err
	}
	wait(settleTime)
	before, err := readCounters(d)
	if err != nil {
		return point{}, err
	}
	started := time.Now()
	if err := applyChanges(d, s.Changes, window); err != nil {
		return point{}, err
	}
	wait(window - time.Since(started))
	after, err := readCounters(d)
	if err != nil {
		return point{}, err
	}
	return newPoint(sweep, s, before, after, time.Since(started).Seconds()), nil
}

func clusterLayout(binDir string, s size) cluster.Layout {
	return cluster.Layout{
		BinDir:      binDir,
		DataCentres: []string{"oslo-a"},
		Hosts:       s.Hosts / dataCentres,
		Engines:     s.Targets / dataCentres,
		Teams:       s.Teams,
		EngineKind:  cluster.DefaultEngineKind(),
		Timing:      cluster.ProductionTiming(),
	}
}

// applyChanges drains and undrains the first target in turn, with the changes spread evenly
// over the window.
func applyChanges(d *cluster.Deployment, changes int, window time.Duration) error {
	for i := range changes {
		intent := "drain"
		if i%2 == 1 {
			intent = "undrain"
		}
		if _, err := d.RunCLI(intent, d.Targets[0].Name, "--yes"); err != nil {
			return err
		}
		wait(window / time.Duration(changes+1))
	}
	return nil
}

func wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// newPoint computes a point from the counters before and after the given number of seconds.
func newPoint(sweep string, s size, before, after counters, seconds float64) point {
	hosts := float64(s.Hosts)
	return point{
		Sweep:          sweep,
		Size:           s,
		CPUPercent:     100 * (after.cpuSeconds - before.cpuSeconds) / seconds / hosts,
		ResidentMiB:    after.residentMiB / hosts,
		SentBytes:      (after.sentBytes - before.sentBytes) / seconds / hosts,
		SentMessages:   (after.sentMessages - before.sentMessages) / seconds / hosts,
		PlatformReads:  (after.platformReads - before.platformReads) / seconds,
		PlatformWrites: (after.platformWrites - before.platformWrites) / seconds,
	}
}
