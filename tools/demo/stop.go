package main

import (
	"fmt"

	"siskintide.example/siskintide/tools/cluster"
)

// stopGracefully stops the entry host of a running stream with SIGTERM. The stream must
// complete before the host exits.
func (d *demo) stopGracefully() error {
	const length, stopAt = 200, 30
	leaving := d.Host("oslo-a-2")
	stopped := make(chan error, 1)
	c := streamClient{prompt: fmt.Sprintf("A draft during maintenance. [[length=%d]]", length), seed: 3, maxTokens: 400}
	c.onToken = func(tokens int) {
		if tokens == stopAt {
			go func() { stopped <- leaving.Process.Stop() }()
		}
	}
	var result streamResult
	if err := c.stream(leaving.CallerAddress, "", &result); err != nil {
		return err
	}
	if !result.done || len(result.tokens) != length {
		return &cluster.StepError{Step: "planned stop", Reason: fmt.Sprintf("%d tokens of %d, error %s", len(result.tokens), length, result.failure)}
	}
	if err := <-stopped; err != nil {
		return fmt.Errorf("stop oslo-a-2: %w", err)
	}
	fmt.Printf("oslo-a-2 stopped after %d tokens of a stream: the stream completed with %d tokens, then the host exited\n", stopAt, len(result.tokens))
	return nil
}
