package core

import "time"

// PoolSpec declares a pool of targets in the routing configuration.
type PoolSpec struct {
	ID             PoolID
	HealthPath     string
	MaxConnections int           // per target, over all callers
	ColdPeriod     time.Duration // time for which a target is cold after its start
	ColdRate       float64       // requests per second that a cold target can take; zero means no bound
	Engine         *EngineSpec   // nil for plain services
	// WeighPrefixes says that placement weighs which engines hold the beginning of a prompt.
	WeighPrefixes bool
	// LearnPace says that streams are placed by the pauses that engines will give them.
	LearnPace bool
}
