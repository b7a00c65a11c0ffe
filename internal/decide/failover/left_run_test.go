package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeftRun guards against a run that an engine works on though the generation has gone on elsewhere, and against
// requests to stop it that never end.
func TestLeftRun(t *testing.T) {
	const grace = 50 * time.Millisecond
	for name, c := range map[string]struct {
		results []Result
		want    StepKind
	}{
		"ended by itself":  {[]Result{StoppedOnly}, Finish},
		"stopped":          {[]Result{Done}, Finish},
		"refused at first": {[]Result{NotDone, InProgress, Done}, Finish},
		"no answer":        {[]Result{Unknown, Unknown, Unknown}, Finish},
		"refused":          {[]Result{NotDone, NotDone, NotDone, NotDone, NotDone}, GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			run := NewLeftRun(time.Second, grace)
			now, wait := time.Second, grace
			for _, result := range c.results {
				require.Equal(t, Step{Kind: Wait, At: now + wait}, run.Next(now))
				now += wait
				require.Equal(t, Step{Kind: StopLostRun}, run.Next(now))
				run.RecordRunStop(result, now)
				wait = stopRetryDelay
			}
			require.Equal(t, c.want, run.Next(now+wait).Kind)
		})
	}
}
