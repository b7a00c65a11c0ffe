package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/cluster"
	"siskintide.example/siskintide/tools/load/loadgen"
)

const (
	// stepBase is the duration of a decoding step of the engines, and therefore the token gap.
	// It hardly depends on the number of streams (1 ns each), so that the distribution of
	// streams over engines does not affect the result.
	stepBase = 25 * time.Millisecond
	// streamsPerEngine is both the cold and the warm limit, so that warm-up has no effect.
	streamsPerEngine = 40
	// memoryTokens is the memory of each engine. It is more than streamsPerEngine streams
	// need, so that no stream is preempted or waits for memory.
	memoryTokens = 1_000_000
	// drainTimeout is how long requests may run on after the last one was started.
	drainTimeout = 30 * time.Second
)

// measurement describes a deployment with one host and the load that is sent to it both
// directly and relayed.
type measurement struct {
	binDir   string
	engines  int
	rate     float64 // requests a second
	length   int     // tokens of each response
	duration time.Duration
	rounds   int
	seed     uint64
}

// run starts the deployment, measures all rounds and stops the deployment.
func (m measurement) run() (_ *report, err error) {
	dir, err := os.MkdirTemp("", "siskintide-overhead-")
	if err != nil {
		return nil, fmt.Errorf("create temporary directory: %w", err)
	}
	defer os.RemoveAll(dir)
	deployment, err := cluster.New(dir, m.layout())
	if err != nil {
		return nil, err
	}
	defer func() {
		if stopErr := deployment.StopAll(); err == nil {
			err = stopErr
		}
	}()
	if err := deployment.Start(); err != nil {
		return nil, err
	}
	if err := deployment.WaitForOwners(); err != nil {
		return nil, err
	}
	return m.measure(deployment)
}

// layout returns the layout of one host and engines with steps of equal duration.
func (m measurement) layout() cluster.Layout {
	streams, memory := fmt.Sprint(streamsPerEngine), fmt.Sprint(memoryTokens)
	return cluster.Layout{
		BinDir:      m.binDir,
		DataCentres: []string{"oslo-a"},
		Hosts:       1,
		Engines:     m.engines,
		EngineKind:  cluster.EngineKind{ColdStreams: streamsPerEngine, WarmStreams: streamsPerEngine, MemoryTokens: memoryTokens, QueueMS: 10000, QueueEntries: 200},
		Timing:      cluster.ProductionTiming(),
		EngineFlags: []string{"--step-base", stepBase.String(), "--step-per-stream", "1ns", "--prefill-per-token", "1ns",
			"--cold-streams", streams, "--warm-streams", streams, "--memory", memory},
	}
}

// measure carries out all rounds on a running deployment.
func (m measurement) measure(deployment *cluster.Deployment) (*report, error) {
	result := &report{Engines: m.engines, Rate: m.rate, Length: m.length, StepMS: float64(stepBase) / float64(time.Millisecond), DurationS: m.duration.Seconds(), Seed: m.seed}
	for range m.rounds {
		r, err := m.measureRound(deployment)
		if err != nil {
			return nil, err
		}
		result.Rounds = append(result.Rounds, *r)
	}
	return result, nil
}

// measureRound sends the load directly to the engines and then through the host.
func (m measurement) measureRound(deployment *cluster.Deployment) (*round, error) {
	direct, err := m.sendLoad(deployment, true)
	if err != nil {
		return nil, err
	}
	host := deployment.Hosts[0]
	before, err := processorTime(host.Process.PID())
	if err != nil {
		return nil, err
	}
	relayed, err := m.sendLoad(deployment, false)
	if err != nil {
		return nil, err
	}
	after, err := processorTime(host.Process.PID())
	if err != nil {
		return nil, err
	}
	peak, err := peakMemory(host.Process.PID())
	if err != nil {
		return nil, err
	}
	return &round{Direct: direct.Total, Relayed: relayed.Total, HostCPUS: (after - before).Seconds(), HostPeakKiB: peak, Failures: append(direct.Failures, relayed.Failures...)}, nil
}

// sendLoad carries out one run of the load, direct or relayed.
func (m measurement) sendLoad(deployment *cluster.Deployment, direct bool) (*loadgen.Report, error) {
	options := loadgen.Options{
		Direct:       direct,
		Callers:      []loadgen.Caller{{Team: "team-1", Key: cluster.TeamKey, Class: "interactive", Weight: 1}},
		Model:        cluster.Model,
		CheckVersion: "v1",
		Rate:         m.rate,
		Duration:     m.duration,
		DrainTimeout: drainTimeout,
		MaxTokens:    core.Tokens(m.length),
		AnswerLength: m.length,
		PromptBytes:  600,
		Seed:         m.seed,
	}
	for _, t := range deployment.Targets {
		if direct {
			options.Addresses = append(options.Addresses, t.Address)
		}
	}
	if !direct {
		options.Addresses = []string{deployment.Hosts[0].CallerAddress}
	}
	return loadgen.Run(context.Background(), options)
}
