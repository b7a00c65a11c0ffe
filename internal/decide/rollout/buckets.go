package rollout

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// firstBucket is the upper limit of the first entry of a cell's Times and Gaps. The limits double with
	// every second entry, so that the last one is above three minutes.
	firstBucket        = 200 * time.Microsecond
	bucketsPerDoubling = 2
)

// bucketOf returns the entry that counts a duration.
func bucketOf(d time.Duration) int {
	if d < firstBucket {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(float64(d)/float64(firstBucket)))+1, core.RolloutBuckets-1)
}

// BucketLimit returns the upper limit of the durations that an entry of a cell's Times and Gaps counts.
func BucketLimit(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(i)/bucketsPerDoubling))
}

// count adds one duration to a list of entries.
func count(buckets []uint32, d time.Duration) []uint32 {
	i := bucketOf(d)
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

// addBuckets adds the entries of one list to another.
func addBuckets(sum, more []uint32) []uint32 {
	for i, n := range more[:min(len(more), core.RolloutBuckets)] {
		if len(sum) <= i {
			sum = append(sum, 0)
		}
		sum[i] += n
	}
	return sum
}

// total returns the number of durations in a list of entries.
func total(buckets []uint32) int {
	sum := 0
	for _, n := range buckets {
		sum += int(n)
	}
	return sum
}

// countFrom returns the number of durations in the entries from a given one on.
func countFrom(buckets []uint32, first int) int {
	return total(buckets[min(first, len(buckets)):])
}

// median returns the entry that has the median of two lists together.
func median(a, b []uint32) int {
	half, sum := (total(a)+total(b)+1)/2, 0
	for i := range core.RolloutBuckets {
		if i < len(a) {
			sum += int(a[i])
		}
		if i < len(b) {
			sum += int(b[i])
		}
		if sum >= half {
			return i
		}
	}
	return core.RolloutBuckets - 1
}

// later returns the totals of two lists of which one is the later state of the other.
func later(a, b []uint32) []uint32 {
	merged := make([]uint32, min(max(len(a), len(b)), core.RolloutBuckets))
	for i := range merged {
		if i < len(a) {
			merged[i] = a[i]
		}
		if i < len(b) {
			merged[i] = max(merged[i], b[i])
		}
	}
	return merged
}

// difference returns what a list has more than its former state.
func difference(former, latest []uint32) []uint32 {
	more := make([]uint32, len(latest))
	for i, n := range latest {
		more[i] = n
		if i < len(former) {
			more[i] -= former[i]
		}
	}
	return more
}
