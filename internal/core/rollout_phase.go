package core

// RolloutPhase is the phase of a pool's latest rollout.
type RolloutPhase uint8

const (
	// RolloutNone means that the pool had no rollout yet.
	RolloutNone RolloutPhase = iota
	// RolloutProbing means that hosts with a quota send some requests to the new version.
	RolloutProbing
	// RolloutShifting means that all new requests go to the new version, while requests that run at the
	// former one end.
	RolloutShifting
	// RolloutCompleted is final: only the new version is used.
	RolloutCompleted
	// RolloutRolledBack is final: only the former version is used.
	RolloutRolledBack
)

// Active reports whether the rollout has not ended.
func (p RolloutPhase) Active() bool { return p == RolloutProbing || p == RolloutShifting }

// Final reports whether the rollout has ended.
func (p RolloutPhase) Final() bool { return p == RolloutCompleted || p == RolloutRolledBack }

// String returns the phase's name for logs.
func (p RolloutPhase) String() string {
	switch p {
	case RolloutProbing:
		return "probing"
	case RolloutShifting:
		return "shifting"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled_back"
	default:
		return "none"
	}
}
