package main

import (
	"fmt"

	"siskintide.example/siskintide/tools/cluster"
)

// killAndResume kills the entry host of a running stream and resumes it at another host.
func (d *demo) killAndResume() error {
	const length, killAt = 150, 40
	prompt := fmt.Sprintf("A longer draft for the evening session. [[length=%d]]", length)
	whole := caller{prompt: prompt, seed: 11, maxTokens: 400}
	var expected answer
	if err := whole.stream(d.Host("oslo-a-2").CallerAddress, "", &expected); err != nil {
		return err
	}
	victim := d.Host("oslo-a-1")
	broken := whole
	broken.hook = func(tokens int) {
		if tokens == killAt {
			victim.Process.Kill()
		}
	}
	var got answer
	if err := broken.stream(victim.CallerAddress, "", &got); err != nil {
		return err
	}
	if got.done {
		return &cluster.StepError{Step: "kill", Reason: "the stream ended before its host was killed"}
	}
	atKill := len(got.tokens)
	if err := whole.stream(d.Host("oslo-a-2").CallerAddress, got.tokens[atKill-1].id, &got); err != nil {
		return err
	}
	if !got.done || len(got.tokens) != length || got.text() != expected.text() {
		return &cluster.StepError{Step: "resume", Reason: fmt.Sprintf("%d tokens of %d, same text %t, error %s", len(got.tokens), length, got.text() == expected.text(), got.failed)}
	}
	fmt.Printf("oslo-a-1 killed after %d tokens, stream resumed at oslo-a-2: %d tokens, each once and in order, gap at the kill %.0f ms\n",
		atKill, len(got.tokens), milliseconds(got.tokens[atKill].at.Sub(got.tokens[atKill-1].at)))
	return nil
}
