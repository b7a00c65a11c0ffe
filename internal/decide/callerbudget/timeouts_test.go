package callerbudget

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeoutsOf guards against values of a configuration that close connections at once, or never.
func TestTimeoutsOf(t *testing.T) {
	for name, c := range map[string]struct {
		header, idle time.Duration
		want         Timeouts
		clamped      bool
	}{
		"missing":   {0, 0, Timeouts{3 * time.Second, 15 * time.Second}, false},
		"in bounds": {2 * time.Second, time.Minute, Timeouts{2 * time.Second, time.Minute}, false},
		"at bounds": {100 * time.Millisecond, 10 * time.Minute, Timeouts{100 * time.Millisecond, 10 * time.Minute}, false},
		"too small": {1, time.Minute, Timeouts{100 * time.Millisecond, time.Minute}, true},
		"negative":  {-time.Second, 0, Timeouts{100 * time.Millisecond, 15 * time.Second}, true},
		"too large": {0, math.MaxInt64, Timeouts{3 * time.Second, 10 * time.Minute}, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, clamped := TimeoutsOf(c.header, c.idle)
			require.Equal(t, c.want, got)
			require.Equal(t, c.clamped, clamped)
		})
	}
}
