package pool

import "time"

const (
	startWindow    = 3 * time.Second                // time that an entry host has, after the grant, to start the request
	requestTransit = 2 * time.Second                // longest way of a request to a target, clock rate included
	reportTransit  = 2 * time.Second                // longest way of a report from a target
	settleMargin   = requestTransit + reportTransit // after a ticket's last start, until a report shows the request
	closeMargin    = 500 * time.Millisecond         // time between a target's end of a stream and the close at the owner

	answeredTTL     = 2 * time.Minute // longest time that a duplicate of a demand is recognised
	maxAnswered     = 32768           // bounds the memory for answered demands
	maxHints        = 4096            // bounds the memory for prefix hints
	minRetryAfter   = time.Second
	maxRetryAfter   = 30 * time.Second
	defaultMaxToken = 32768            // tokens of output when neither the request nor the pool bounds it
	defaultRelease  = 60 * time.Second // settles calls at plain services when the settings give no bound
	defaultGapMS    = 40               // milliseconds between tokens before any have been measured
	rateMemory      = 10 * time.Second // time constant of the measured rate of grants
	rateEvidence    = 3 * time.Second  // time that requests must have waited before the rate means anything
	bypassWindow    = 2 * time.Second  // time for which a request that does not fit yet may be overtaken everywhere
	reclaimNotice   = 10 * time.Second // streams that need longer than this are moved from a target being reclaimed
)

const (
	profileTTL       = 200 * time.Millisecond // age up to which a forecast is reused
	maxExtrapolation = 5 * time.Second        // age of the last news up to which growth is assumed
	minGapMS         = 1.0                    // bounds the learned time between tokens
	maxGapMS         = 1000.0
	gapLearning      = 0.05 // weight of one new measurement
)
