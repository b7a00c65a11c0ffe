package configreview

import "time"

// Service is a service as it is written.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	ColdPeriod     time.Duration
	ColdRate       float64
	Engine         *Engine // nil for plain services
}
