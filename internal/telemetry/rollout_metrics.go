package telemetry

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/core"
)

// RolloutMetrics counts requests of rollouts by pool and version, and phases by pool. It is safe for concurrent use.
type RolloutMetrics struct {
	scope tally.Scope
}

// NewRolloutMetrics returns a recorder whose metrics belong to the scope.
func NewRolloutMetrics(scope tally.Scope) *RolloutMetrics { return &RolloutMetrics{scope: scope} }

// Exposed counts a request that is sent to a version while a rollout is active.
func (m *RolloutMetrics) Exposed(pool core.PoolID, version core.Version) {
	m.scope.Tagged(map[string]string{"pool": string(pool), "version": string(version)}).Counter("rollout_requests_total").Inc(1)
}

// Ended counts an answer of a version while a rollout is active.
func (m *RolloutMetrics) Ended(pool core.PoolID, version core.Version, failed bool) {
	m.scope.Tagged(map[string]string{"pool": string(pool), "version": string(version), "failed": strconv.FormatBool(failed)}).
		Counter("rollout_answers_total").Inc(1)
}

// PhaseBegan counts a phase of a rollout that this host has learned of.
func (m *RolloutMetrics) PhaseBegan(pool core.PoolID, phase core.RolloutPhase) {
	m.scope.Tagged(map[string]string{"pool": string(pool), "phase": phase.String()}).Counter("rollout_phases_total").Inc(1)
}
