package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// weighsPrefixes reports whether placement in a pool weighs which engines hold the beginning of a prompt.
func (s *state) weighsPrefixes(pool core.PoolID) bool {
	if s.view.Table == nil {
		return false
	}
	spec := s.view.Table.Pool(pool)
	return spec != nil && spec.WeighPrefixes
}

// recordPrefix records and counts the prefix of a request that this host has placed.
func (s *state) recordPrefix(req PlacementRequest, choice placement.Choice) {
	if len(req.Request.Prefix) == 0 || req.RunningOn != "" {
		return
	}
	s.balancer.RecordPrefix(choice.Target, req.Request, s.now())
	s.options.Metrics.PrefixPlaced(req.Pool, req.Request.Prompt, choice.ExpectedCached)
}
