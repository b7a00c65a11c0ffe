package edgecontrol

import (
	"github.com/apex/log"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

// Options configures a Loop. All fields are required.
type Options struct {
	Self        core.Host
	RetryBudget retrybudget.Limits // bound on second sends of all hosts
	Clock       boottime.Clock
	Log         log.Interface
	// Send queues a message for another host. It must not wait, and reports whether there
	// is a link to the host.
	Send func(to core.HostID, m message.Message) bool
	// SetPeers names the hosts to stay linked with. It must not wait.
	SetPeers func(hosts []core.Host)

	post func(event) // queues an event for the control goroutine
}
