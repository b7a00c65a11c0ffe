package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// outTimeout is the bound on new work after a confirmed take-out.
const outTimeout = 3 * time.Second

// takeOut takes oslo-b out by plan and confirm, and shows that its engines get no new work.
func (d *demo) takeOut() error {
	output, err := d.operate("take-out", "oslo-b", "--yes")
	if err != nil {
		return err
	}
	show(output)
	confirmed := time.Now()
	if err := d.WaitForConfig(); err != nil {
		return err
	}
	inForce := time.Since(confirmed)
	if inForce > outTimeout {
		return &cluster.StepError{Step: "take-out", Reason: fmt.Sprintf("in force everywhere only after %s", inForce)}
	}
	fmt.Printf("take-out in force everywhere %d ms after the confirmation\n", inForce.Milliseconds())
	return d.checkNoWorkAt("oslo-b")
}

// checkNoWorkAt sends streams through a host of the data centre and looks at its engines.
func (d *demo) checkNoWorkAt(dataCentre string) error {
	const streams = 6
	var wait sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := caller{prompt: fmt.Sprintf("Line %d of the warm-up. [[length=40]]", i), seed: i, maxTokens: 80}
			if err := c.stream(d.Host("oslo-b-1").CallerAddress, "", &answers[i]); err != nil {
				answers[i].failed = err.Error()
			}
		}()
	}
	busy := d.busyAt(dataCentre, 700*time.Millisecond)
	wait.Wait()
	for i := range answers {
		if !answers[i].done {
			return &cluster.StepError{Step: "stream while a data centre is out", Reason: answers[i].failed}
		}
	}
	if busy > 0 {
		return &cluster.StepError{Step: "take-out", Reason: fmt.Sprintf("%d streams ran in %s", busy, dataCentre)}
	}
	fmt.Printf("%d streams through oslo-b-1 ran whole in oslo-a; none in %s\n", streams, dataCentre)
	return nil
}

// busyAt returns how many streams the data centre's engines list after a while.
func (d *demo) busyAt(dataCentre string, after time.Duration) int {
	<-time.After(after)
	count := 0
	for _, t := range d.Targets {
		if t.Engine && t.DataCentre == dataCentre {
			count += streamsAt(t.Address)
		}
	}
	return count
}

// streamsAt returns the number of streams that an engine lists.
func streamsAt(address string) int {
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

// bringBack returns the data centre by plan and confirm.
func (d *demo) bringBack() error {
	output, err := d.operate("return", "oslo-b", "--yes")
	if err != nil {
		return err
	}
	show(output)
	status, err := d.operate("status")
	show(status)
	return err
}
