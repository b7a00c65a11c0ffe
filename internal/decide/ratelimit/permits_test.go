package ratelimit

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// issuer is one of the hosts that issue the permits of a target. A permit reaches the target later.
type issuer struct {
	permits *Permits
	shares  int // hosts that it issues permits for, itself included; zero if another host does that
}

// phase returns the phase of a host, as evenly distributed as hashes are.
func phase(host int) float64 {
	return float64(xxhash.Sum64String(strconv.Itoa(host))>>11) / (1 << 53)
}

// mostInWindow returns the highest number of times within any window.
func mostInWindow(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Hosts lose their hub and find another one, freeze and wake, and the limit changes, while all of them
// have more requests than the target takes. In no window may it get more than the users' bound.
func TestPermitsOfAllIssuersKeepTheLimit(t *testing.T) {
	const window, step = 4 * time.Second, 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 3, 7, 9, 30, 81}).Draw(t, "hosts")
		rate := rapid.SampledFrom([]float64{minRate, 1, 2.6, 5.3, 10, 40}).Draw(t, "rate")
		issuers := make([]issuer, hosts)
		for i := range issuers {
			issuers[i].permits = NewPermits(phase(i))
		}
		var sent []time.Duration
		demand := make([]bool, hosts)
		for now, nextChange := time.Duration(0), time.Duration(0); now < 20*time.Second; now += step {
			if now >= nextChange {
				hubs := rapid.SampledFrom([]int{0, 0, 1, 2, 3}).Draw(t, "hubs")
				for i := range issuers {
					issuers[i].shares = 1
				}
				for i := hubs; hubs > 0 && i < hosts; i++ {
					issuers[i].shares = 0
					issuers[i%hubs].shares++
				}
				busy := rapid.Float64Range(0, 1).Draw(t, "hosts with requests")
				for i := range demand {
					demand[i] = float64(i) < busy*float64(hosts)
				}
				nextChange = now + time.Duration(rapid.IntRange(2000, 8000).Draw(t, "until the next change"))*time.Millisecond
			}
			for i := range issuers {
				share := Rate{Total: rate, Share: float64(issuers[i].shares) / float64(hosts)}
				for issuers[i].permits.Available(now, share) > 0 && demand[i] {
					issuers[i].permits.Take(now, share)
					sent = append(sent, now)
				}
			}
		}
		require.LessOrEqual(t, mostInWindow(sent, window), int(1.5*rate*window.Seconds())+5)
	})
}

// A target that takes a few requests a second must get them, whoever issues the permits.
func TestPermitsAreUsed(t *testing.T) {
	for _, hosts := range []int{1, 9, 81} {
		used := 0
		issuers := make([]*Permits, hosts)
		for i := range issuers {
			issuers[i] = NewPermits(float64(i) / float64(hosts))
		}
		rate := Rate{Total: 5, Share: 1 / float64(hosts)}
		for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
			for _, permits := range issuers {
				if permits.Available(now, rate) > 0 {
					permits.Take(now, rate)
					used++
				}
			}
		}
		require.InDelta(t, 500, used, 25, "%d hosts", hosts)
	}
}

// Requests that go on with a generation are sent without a permit. They use those to come.
func TestPermitsTakenInAdvanceArePaidBack(t *testing.T) {
	permits, rate := NewPermits(0), Rate{Total: 2, Share: 1}
	for range 4 {
		permits.Take(at(0), rate)
	}
	require.Zero(t, permits.Available(at(2), rate))
	require.Equal(t, 500*time.Millisecond, permits.UntilNext(at(2), rate))
	require.Equal(t, 1, permits.Available(at(2.5), rate))
	for range 1000 {
		permits.Take(at(2.5), rate)
	}
	require.Positive(t, permits.Available(at(2.5+maxDebt.Seconds()+1), rate), "the debt is bounded")
}

// An issuer that was suspended must not use the permits of that time.
func TestPermitsOfASuspendedIssuerExpire(t *testing.T) {
	permits, rate := NewPermits(0), Rate{Total: 5, Share: 1}
	permits.Available(at(0), rate)
	require.LessOrEqual(t, permits.Available(at(30), rate), 7)
}

// Without a share no permit is ever issued.
func TestNoShareNoPermits(t *testing.T) {
	permits := NewPermits(0.9)
	require.Zero(t, permits.Available(at(1), Rate{Total: 5}))
	require.Zero(t, permits.Available(at(100), Rate{Total: 5}))
	require.Equal(t, maxWait, permits.UntilNext(at(100), Rate{Total: 5}))
}
