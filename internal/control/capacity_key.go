package control

import "siskintide.example/siskintide/internal/core"

// capacityKey identifies the capacity of one owner in one pool.
type capacityKey struct {
	owner core.HostID
	pool  core.PoolID
}
