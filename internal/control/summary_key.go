package control

import "siskintide.example/siskintide/internal/core"

// summaryKey names one owner's share of one pool.
type summaryKey struct {
	owner core.HostID
	pool  core.PoolID
}
