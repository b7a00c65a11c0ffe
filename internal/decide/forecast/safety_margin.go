package forecast

const (
	startZ             = 2.2   // standard deviations kept free before any preemption or completion
	minZ               = 1.5   // bounds how far a run without preemptions can lower the margin
	maxZ               = 2.6   // bounds the capacity that forecast errors can cost
	zStep              = 0.02  // standard deviations added by one report of preemptions
	acceptedPreemption = 0.007 // reports of preemptions for each completed stream at which the margin stays level
)

// SafetyMargin adapts the number of standard deviations that the forecast keeps free, so
// that few streams are preempted for each one that completes.
type SafetyMargin struct {
	z float64
}

// NewSafetyMargin returns the margin used before any preemption or completion.
func NewSafetyMargin() SafetyMargin { return SafetyMargin{z: startZ} }

// Z returns the number of standard deviations to keep free.
func (m *SafetyMargin) Z() float64 { return m.z }

// RecordPreemption raises the margin after a report of preemptions. The number of
// preemptions is ignored because an overfull engine preempts the same stream repeatedly.
func (m *SafetyMargin) RecordPreemption() {
	m.z = min(m.z+zStep, maxZ)
}

// RecordCompletion lowers the margin slightly after a stream has completed while requests
// waited for memory. Completions at a target with free memory are no evidence that the
// margin is large enough, so the caller does not record them.
func (m *SafetyMargin) RecordCompletion() {
	m.z = max(m.z-zStep*acceptedPreemption, minZ)
}
