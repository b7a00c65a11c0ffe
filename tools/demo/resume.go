package main

import (
	"fmt"

	"siskintide.example/siskintide/tools/cluster"
)

// killAndResume kills the entry host of a running stream and resumes the stream at another
// host. The text must equal that of an uninterrupted stream.
func (d *demo) killAndResume() error {
	const length, killAt = 150, 40
	prompt := fmt.Sprintf("A longer draft for the evening session. [[length=%d]]", length)
	client := streamClient{prompt: prompt, seed: 11, maxTokens: 400}
	var expected streamResult
	if err := client.stream(d.Host("oslo-a-2").CallerAddress, "", &expected); err != nil {
		return err
	}
	killed := d.Host("oslo-a-1")
	interrupted := client
	interrupted.onToken = func(tokens int) {
		if tokens == killAt {
			killed.Process.Kill()
		}
	}
	var result streamResult
	if err := interrupted.stream(killed.CallerAddress, "", &result); err != nil {
		return err
	}
	if result.done {
		return &cluster.StepError{Step: "kill", Reason: "the stream ended before its host was killed"}
	}
	received := len(result.tokens)
	if err := client.stream(d.Host("oslo-a-2").CallerAddress, result.tokens[received-1].id, &result); err != nil {
		return err
	}
	if !result.done || len(result.tokens) != length || result.text() != expected.text() {
		return &cluster.StepError{Step: "resume", Reason: fmt.Sprintf("%d tokens of %d, same text %t, error %s", len(result.tokens), length, result.text() == expected.text(), result.failure)}
	}
	fmt.Printf("oslo-a-1 killed after %d tokens, stream resumed at oslo-a-2: %d tokens, each once and in order, gap at the kill %.0f ms\n",
		received, len(result.tokens), milliseconds(result.tokens[received].at.Sub(result.tokens[received-1].at)))
	return nil
}
