package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// reportToSelf reports this host's exposure to its own controllers.
func (s *state) reportToSelf(now time.Duration) {
	for _, p := range s.rollouts.pools {
		report, active := p.exposure.Report(now)
		if !active {
			continue
		}
		if quota, ok := p.controller.Report(s.options.Self.ID, report, now); ok {
			p.exposure.Accept(quota, now)
		}
	}
}

// rolloutReports returns the reports of this host that go to the hub with a request.
func (s *state) rolloutReports(now time.Duration) []core.RolloutReport {
	if s.rollouts == nil {
		return nil
	}
	var reports []core.RolloutReport
	for _, p := range s.rollouts.pools {
		if report, active := p.exposure.Report(now); active {
			reports = append(reports, report)
		}
	}
	return reports
}

// rolloutQuotas returns the quotas that answer a subscriber's reports.
func (s *state) rolloutQuotas(from core.HostID, reports []core.RolloutReport) []core.RolloutQuota {
	if s.rollouts == nil {
		return nil
	}
	var quotas []core.RolloutQuota
	for _, report := range reports {
		if p := s.rollouts.pools[report.Pool]; p != nil {
			if quota, ok := p.controller.Report(from, report, s.now()); ok {
				quotas = append(quotas, quota)
			}
		}
	}
	return quotas
}

// acceptQuotas takes over the quotas that answer the reports sent at sentAt.
func (s *state) acceptQuotas(quotas []core.RolloutQuota, sentAt time.Duration) {
	if s.rollouts == nil {
		return
	}
	for _, quota := range quotas {
		if p := s.rollouts.pools[quota.Pool]; p != nil {
			p.exposure.Accept(quota, sentAt)
		}
	}
}
