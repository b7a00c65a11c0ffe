package pool

import "time"

const (
	startWindow    = 3 * time.Second                // time from the grant in which an entry host may start the request
	requestTransit = 2 * time.Second                // longest transit of a request to a target, including clock drift
	reportTransit  = 2 * time.Second                // longest transit of a report from a target
	settleMargin   = requestTransit + reportTransit // time from the last possible start of a request until every report shows it
	closeMargin    = 500 * time.Millisecond         // longest time from the end of a stream at the target to the close at the owner

	recentIDTTL         = 2 * time.Minute // longest time for which a duplicate request is recognised
	maxRecentIDs        = 32768           // bounds the memory of each set of recent generations
	maxPrefixHints      = 4096            // bounds the memory for prefix hints
	minRetryAfter       = time.Second
	maxRetryAfter       = 30 * time.Second
	defaultMaxTokens    = 32768            // tokens of output if neither the request nor the pool bounds it
	defaultReleaseAfter = 60 * time.Second // used for plain services if the settings give no bound
	defaultTokenGapMS   = 40               // milliseconds between tokens before any measurement
	rateTimeConstant    = 10 * time.Second // time constant of the moving average of grants per second
	minRatePeriod       = 3 * time.Second  // time that requests must have waited before the measured rate is used
	bypassWindow        = 2 * time.Second  // time for which later requests may overtake one that does not fit
	reclaimNotice       = 10 * time.Second // streams expected to run longer are revoked when their target is to be reclaimed
)

const (
	profileTTL       = 200 * time.Millisecond // age up to which a forecast is reused
	maxExtrapolation = 5 * time.Second        // time after the last report for which growth is extrapolated
	minTokenGapMS    = 1.0                    // bounds the measured time between tokens
	maxTokenGapMS    = 1000.0
	tokenGapWeight   = 0.05 // weight of a new measurement in the moving average
)
