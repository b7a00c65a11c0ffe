package main

import (
	"fmt"
	"strings"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// runTimes describes the runs of a request at the targets, with the times of day that the hosts' logs have.
func runTimes(request *sentRequest, runs []platformtest.Run) string {
	const clock = "15:04:05.000"
	texts := []string{fmt.Sprintf("%s got it at %s and ended it at %s", request.host, request.sentAt.UTC().Format(clock), request.endedAt.UTC().Format(clock))}
	for _, run := range runs {
		ended := "never"
		if !run.Ended.IsZero() {
			ended = run.Ended.UTC().Format(clock)
		}
		texts = append(texts, fmt.Sprintf("%s got it %s before the run, began after event %d at %s, ended at %s", run.Runner,
			run.Started.Sub(run.Received).Round(time.Millisecond), run.ResumedAfter, run.Started.UTC().Format(clock), ended))
	}
	return strings.Join(texts, "; ")
}
