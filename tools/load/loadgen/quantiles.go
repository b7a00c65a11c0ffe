package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarises a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// newQuantiles summarises a histogram of microseconds.
func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  milliseconds(h.Mean()),
		P50:   milliseconds(float64(h.ValueAtQuantile(50))),
		P95:   milliseconds(float64(h.ValueAtQuantile(95))),
		P99:   milliseconds(float64(h.ValueAtQuantile(99))),
		P999:  milliseconds(float64(h.ValueAtQuantile(99.9))),
		Max:   milliseconds(float64(h.Max())),
	}
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us float64) float64 {
	return us * float64(time.Microsecond) / float64(time.Millisecond)
}
