package edgecontrol

import (
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

// Options configures a Loop. All fields are required but PaceMetrics and Rollout.
type Options struct {
	Self        core.Host
	RetryBudget retrybudget.Limits // retry budget of all hosts together
	Clock       boottime.Clock
	// MaxConfigAge is the age up to which a configuration is used for API keys.
	MaxConfigAge time.Duration
	Log          log.Interface
	Metrics      Metrics
	// Send queues a message for another host and reports whether there is a link to it. It
	// must not block.
	Send func(to core.HostID, m message.Message) bool
	// SetPeers sets the hosts to keep links with. It must not block.
	SetPeers func(hosts []core.Host)
	// PaceMetrics records the learned pace of engines; nil records nothing.
	PaceMetrics PaceMetrics

	// Rollout configures rollouts; nil if versions of targets do not matter.
	Rollout *RolloutOptions

	post func(event) // queues an event for the control goroutine
}
