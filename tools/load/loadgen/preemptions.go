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

// preemptions adds up the preemptions of engines over all their incarnations. It belongs
// to one goroutine.
type preemptions struct {
	client  *engine.Client
	engines []string
	first   map[core.Incarnation]uint64
	last    map[core.Incarnation]uint64
	began   bool
}

func newPreemptions(client *engine.Client, engines []string) *preemptions {
	return &preemptions{
		client:  client,
		engines: engines,
		first:   map[core.Incarnation]uint64{},
		last:    map[core.Incarnation]uint64{},
	}
}

// run reads the reports until the context ends, once more then, and hands over the sum.
func (p *preemptions) run(ctx context.Context, sum chan<- uint64) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	p.poll()
	p.began = true
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		p.poll()
	}
	sum <- p.sum()
}

// poll reads the report of each engine. One that does not answer is passed over.
func (p *preemptions) poll() {
	for _, address := range p.engines {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		report, err := p.client.Load(ctx, core.TargetID(address), address)
		cancel()
		if err != nil {
			continue
		}
		if _, known := p.last[report.Incarnation]; !known && !p.began {
			p.first[report.Incarnation] = report.Preemptions
		}
		p.last[report.Incarnation] = report.Preemptions
	}
}

// sum returns the preemptions since the first reading.
func (p *preemptions) sum() uint64 {
	var sum uint64
	for incarnation, last := range p.last {
		sum += last - p.first[incarnation]
	}
	return sum
}
