package edgecontrol

import "siskintide.example/siskintide/internal/core"

// candidateKey selects the candidates of a pool.
type candidateKey struct {
	pool core.PoolID
	// versioned is set if only the targets of a version count.
	versioned bool
	version   core.Version
	probe     bool // only the few targets that are sent requests while the version is probed
}
