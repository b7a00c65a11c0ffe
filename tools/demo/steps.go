package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// steps returns the steps of the demo in order.
func (d *demo) steps() []step {
	return []step{
		{"start", d.start},
		{"stream a script draft", d.streamDraft},
		{"book once", d.bookOnce},
		{"take a data centre out", d.takeOutDataCentre},
		{"resume after a host was killed", d.killAndResume},
		{"return the data centre", d.returnDataCentre},
		{"bring a model version in", d.bringInVersion},
		{"planned stop of a host", d.stopGracefully},
	}
}

// streamDraft streams one generation through one host and prints its latencies.
func (d *demo) streamDraft() error {
	c := streamClient{prompt: "Draft a script for a 30 second radio spot. [[length=120]]", seed: 7, maxTokens: 400}
	var result streamResult
	if err := c.stream(d.Host("oslo-a-1").CallerAddress, "", &result); err != nil {
		return err
	}
	if !result.done || len(result.tokens) != 120 {
		return &cluster.StepError{Step: "stream", Reason: fmt.Sprintf("%d tokens, done %t, error %s", len(result.tokens), result.done, result.failure)}
	}
	fmt.Printf("draft of %d tokens through oslo-a-1: first token %.1f ms, token gap p50 %.1f ms, p99 %.1f ms, largest %.1f ms\n",
		len(result.tokens), milliseconds(result.timeToFirstToken()), milliseconds(result.tokenGap(0.5)), milliseconds(result.tokenGap(0.99)), milliseconds(result.tokenGap(1)))
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// bookOnce sends the same booking through two hosts. It must run once and give the same
// response twice.
func (d *demo) bookOnce() error {
	var bodies []string
	for _, name := range []string{"oslo-b-1", "oslo-a-2"} {
		body, err := d.bookWithRetry(d.Host(name).CallerAddress)
		if err != nil {
			return err
		}
		bodies = append(bodies, body)
	}
	runs := 0
	for _, t := range d.Targets {
		if !t.Engine {
			count, err := countRuns(t.Address)
			if err != nil {
				return err
			}
			runs += count
		}
	}
	if runs != 1 || bodies[0] != bodies[1] {
		return &cluster.StepError{Step: "book", Reason: fmt.Sprintf("ran %d times, answers %q", runs, bodies)}
	}
	fmt.Println("booking sent through oslo-b-1 and repeated through oslo-a-2: ran once, same answer twice")
	return nil
}

// bookWithRetry sends the booking and retries it with the same idempotency key on status
// 409, which is returned while the first call is still being recorded.
func (d *demo) bookWithRetry(address string) (string, error) {
	var body string
	var bookErr error
	err := cluster.WaitFor("booking", func() bool {
		var status int
		status, body, bookErr = d.book(address)
		if bookErr == nil && status != http.StatusOK && status != http.StatusConflict {
			bookErr = &cluster.StepError{Step: "book", Reason: fmt.Sprintf("%d %s", status, body)}
		}
		return bookErr != nil || status == http.StatusOK
	})
	if bookErr != nil {
		return "", bookErr
	}
	return body, err
}

func (d *demo) book(address string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/"+cluster.Service+"/bookings", strings.NewReader(`{"slot":"2026-12-05T10:00"}`))
	if err != nil {
		return 0, "", fmt.Errorf("build booking: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+cluster.TeamKey)
	request.Header.Set("Idempotency-Key", "demo-booking-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("send booking: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("read booking: %w", err)
	}
	return response.StatusCode, string(body), nil
}

// countRuns returns how often bookings ran at a stand-in of the service.
func countRuns(address string) (int, error) {
	response, err := http.Get("http://" + address + "/stand-in/runs")
	if err != nil {
		return 0, fmt.Errorf("count runs: %w", err)
	}
	defer response.Body.Close()
	var runs struct {
		ByKey map[string]int `json:"by_key"`
	}
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return 0, fmt.Errorf("count runs: %w", err)
	}
	total := 0
	for _, count := range runs.ByKey {
		total += count
	}
	return total, nil
}
