package rollout

import "time"

// Bounds are the bounds of the deployment on rollouts.
type Bounds struct {
	// Share and Slack bound the requests that a bad version gets: Share of all requests of the pool since the
	// order, and Slack requests more.
	Share, Slack float64
	// RollbackTime is the time from the 50th bad answer after which a bad version gets no request.
	RollbackTime time.Duration
}

const (
	// shareMargin is the part of Bounds.Share that is granted. The rest covers requests that the hosts count
	// and the service does not, as when the caller leaves before they are sent.
	shareMargin = 0.85
	// slackMargin is the part of Bounds.Slack that is granted. The rest covers requests that are sent to the
	// new version without a quota, when a stream that runs there goes on at another target.
	slackMargin = 0.7
)

const (
	// maxLeaseTTL is the longest time for which a host uses a quota, from the report that the quota answers. Reports
	// are sent every 0.4 s, so that one or two may be lost.
	maxLeaseTTL = 1200 * time.Millisecond
	// rollbackFraction is the part of Bounds.RollbackTime for which a quota may last. The rest is for the answers to
	// be reported and tested.
	rollbackFraction = 0.25
)

// leaseTTL returns the time for which a host uses a quota.
func (b Bounds) leaseTTL() time.Duration {
	if b.RollbackTime <= 0 {
		return maxLeaseTTL
	}
	return min(maxLeaseTTL, time.Duration(rollbackFraction*float64(b.RollbackTime)))
}

// Allowance returns the number of requests to the new version that the bounds allow after a number of
// requests to the pool.
func (b Bounds) Allowance(seen uint64) uint64 {
	return uint64(max(shareMargin*b.Share*float64(seen)+slackMargin*b.Slack, 0))
}
