package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// TestMissingEntryIsNoNotice guards against a stream that leaves a sound engine because its entry has lapsed, and
// against one that stays at an engine that leaves without a notice.
func TestMissingEntryIsNoNotice(t *testing.T) {
	listed := &edgecontrol.View{Targets: map[core.TargetID]registry.Entry{"first": {}}}
	for name, c := range map[string]struct {
		reported reportResult
		returns  bool
		want     leaveNotice
	}{
		"engine says that it leaves":    {reported: reportResult{target: "first", report: EngineReport{Leaving: true}}, want: noticeReport},
		"engine does not leave":         {reported: reportResult{target: "first"}},
		"engine gives no report":        {reported: reportResult{target: "first", refused: true}, want: noticeNoEntry},
		"no report, entry is back":      {reported: reportResult{target: "first", refused: true}, returns: true},
		"report of the former engine":   {reported: reportResult{target: "former", report: EngineReport{Leaving: true}}},
		"leaves, and its entry is back": {reported: reportResult{target: "first", report: EngineReport{Leaving: true}}, returns: true, want: noticeReport},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestRelay(&placingController{view: &edgecontrol.View{}})
			s.failover.RecordEvent(s.now())
			s.readEntry(&edgecontrol.View{})
			require.Equal(t, s.now(), s.missingSince)
			require.Equal(t, s.now(), s.reports.Due(s.now(), 0, s.missingSince > 0), "asked at once")
			if c.returns {
				s.readEntry(listed)
				require.Zero(t, s.missingSince)
			}
			s.handleReport(c.reported)
			require.Equal(t, c.want, s.notice)
			step := s.failover.Next(s.now() + switchAfter)
			require.Equal(t, c.want != "", step.Kind == failover.SwitchToCopy, "step %d", step.Kind)
		})
	}
}

// TestNoticeCountsFromTheMissingEntry guards against a switch that comes too late: a report that says that the engine
// leaves may be half a second old, and the engine has left its registry before.
func TestNoticeCountsFromTheMissingEntry(t *testing.T) {
	s := newTestRelay(&placingController{view: &edgecontrol.View{}})
	s.readEntry(&edgecontrol.View{})
	missingSince := s.missingSince
	s.gateway.options.Clock = func() time.Duration { return missingSince + 600*time.Millisecond }
	s.handleReport(reportResult{target: "first", report: EngineReport{Leaving: true}})
	require.Equal(t, missingSince, s.noticeAt)
}
