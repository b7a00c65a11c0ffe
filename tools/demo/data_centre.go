package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// maxTakeOutTime is the longest time in which a confirmed take-out must reach every host.
const maxTakeOutTime = 3 * time.Second

// takeOutDataCentre takes oslo-b out by a plan that is confirmed at once, and checks that
// its engines get no new streams.
func (d *demo) takeOutDataCentre() error {
	output, err := d.runCLI("take-out", "oslo-b", "--yes")
	if err != nil {
		return err
	}
	printIndented(output)
	confirmed := time.Now()
	if err := d.WaitForConfig(); err != nil {
		return err
	}
	elapsed := time.Since(confirmed)
	if elapsed > maxTakeOutTime {
		return &cluster.StepError{Step: "take-out", Reason: fmt.Sprintf("in force everywhere only after %s", elapsed)}
	}
	fmt.Printf("take-out in force everywhere %d ms after the confirmation\n", elapsed.Milliseconds())
	return d.checkNoStreamsAt("oslo-b")
}

// checkNoStreamsAt sends streams through the host oslo-b-1 and checks that all complete and
// that none runs on an engine of the data centre.
func (d *demo) checkNoStreamsAt(dataCentre string) error {
	const streams = 6
	var wg sync.WaitGroup
	results := make([]streamResult, streams)
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := streamClient{prompt: fmt.Sprintf("Line %d of the warm-up. [[length=40]]", i), seed: i, maxTokens: 80}
			if err := c.stream(d.Host("oslo-b-1").CallerAddress, "", &results[i]); err != nil {
				results[i].failure = err.Error()
			}
		}()
	}
	running := d.countStreamsAt(dataCentre, 700*time.Millisecond)
	wg.Wait()
	for i := range results {
		if !results[i].done {
			return &cluster.StepError{Step: "stream while a data centre is out", Reason: results[i].failure}
		}
	}
	if running > 0 {
		return &cluster.StepError{Step: "take-out", Reason: fmt.Sprintf("%d streams ran in %s", running, dataCentre)}
	}
	fmt.Printf("%d streams through oslo-b-1 completed in oslo-a; none ran in %s\n", streams, dataCentre)
	return nil
}

// countStreamsAt returns the number of streams on the data centre's engines after a delay.
func (d *demo) countStreamsAt(dataCentre string, delay time.Duration) int {
	<-time.After(delay)
	count := 0
	for _, t := range d.Targets {
		if t.Engine && t.DataCentre == dataCentre {
			count += countStreams(t.Address)
		}
	}
	return count
}

// countStreams returns the number of streams in an engine's load report.
func countStreams(address string) int {
	response, err := http.Get("http://" + address + "/v1/load")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var load struct {
		Streams []json.RawMessage `json:"streams"`
	}
	if json.NewDecoder(response.Body).Decode(&load) != nil {
		return 0
	}
	return len(load.Streams)
}

// returnDataCentre returns oslo-b to service by a plan that is confirmed at once.
func (d *demo) returnDataCentre() error {
	output, err := d.runCLI("return", "oslo-b", "--yes")
	if err != nil {
		return err
	}
	printIndented(output)
	status, err := d.runCLI("status")
	printIndented(status)
	return err
}
