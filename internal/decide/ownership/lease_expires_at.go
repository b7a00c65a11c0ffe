package ownership

import "time"

// LeaseExpiresAt returns the end of this host's lease on its own clock. It is in the past
// in degraded mode and zero without a lease.
func (m *Machine) LeaseExpiresAt() time.Time { return m.lease.expiresAt }
