package main

import (
	"fmt"

	"siskintide.example/siskintide/tools/cluster"
)

// stopGracefully stops the entry host of a running stream by a planned stop.
func (d *demo) stopGracefully() error {
	const length, stopAt = 200, 30
	leaving := d.Host("oslo-a-2")
	stopped := make(chan error, 1)
	c := caller{prompt: fmt.Sprintf("A draft during maintenance. [[length=%d]]", length), seed: 3, maxTokens: 400}
	c.hook = func(tokens int) {
		if tokens == stopAt {
			go func() { stopped <- leaving.Process.Stop() }()
		}
	}
	var got answer
	if err := c.stream(leaving.CallerAddress, "", &got); err != nil {
		return err
	}
	if !got.done || len(got.tokens) != length {
		return &cluster.StepError{Step: "planned stop", Reason: fmt.Sprintf("%d tokens of %d, error %s", len(got.tokens), length, got.failed)}
	}
	if err := <-stopped; err != nil {
		return fmt.Errorf("stop oslo-a-2: %w", err)
	}
	fmt.Printf("oslo-a-2 stopped after %d tokens of a stream: the stream ended whole with %d tokens, then the host ended\n", stopAt, len(got.tokens))
	return nil
}
