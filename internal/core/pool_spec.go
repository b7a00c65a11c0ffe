package core

import "time"

// PoolSpec declares a pool of targets in the routing configuration.
type PoolSpec struct {
	ID             PoolID
	HealthPath     string
	MaxConnections int           // of all callers of one target together
	ColdPeriod     time.Duration // time for which a target is cold after its start
	ColdRate       float64       // requests a second that a cold target bears; zero means no bound
	Engine         *EngineSpec   // nil for plain services
}
