package edgecontrol

import (
	"testing"

	"siskintide.example/siskintide/internal/core"
)

// Each host sees few of the crashes under a prompt part. All must hold it back soon, and serve it again
// once one of them has seen that it is sound.
func TestHostsShareEvidenceOnPromptParts(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	startReader(t, net.loops["h"], clock)
	for _, id := range []core.HostID{"host", "hosts"} {
		eventually(t, "follows the hub", func() bool { return net.loops[id].View().Table != nil && !net.loops[id].View().ReadsStore })
	}
	part := []core.PromptPart{7}
	heldEverywhere := func(want bool) func() bool {
		return func() bool {
			for _, loop := range net.loops {
				if (loop.View().Hold(part, clock.now()) != nil) != want {
					return false
				}
			}
			return true
		}
	}
	net.loops["host"].RecordPartCrash(part, core.EngineCrash{ID: 1, Engine: 1})
	net.loops["hosts"].RecordPartCrash(part, core.EngineCrash{ID: 2, Engine: 2})
	eventually(t, "held by all hosts", heldEverywhere(true))
	net.loops["hosts"].RecordPartSound(part, 3)
	eventually(t, "served by all hosts", heldEverywhere(false))
}

// A hub that is lost takes its copy of the evidence along. The next one gets it from the subscribers.
func TestEvidenceReachesTheNextHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "follows the hub", func() bool { return net.loops["hosts"].View().Table != nil && !net.loops["hosts"].View().ReadsStore })
	stop()
	net.setDisconnected("h", true)
	part := []core.PromptPart{7}
	net.loops["hosts"].RecordPartCrash(part, core.EngineCrash{ID: 1, Engine: 1})
	net.loops["hosts"].RecordPartCrash(part, core.EngineCrash{ID: 2, Engine: 2})
	startReader(t, net.loops["host"], clock)
	eventually(t, "held by the next hub", func() bool { return net.loops["host"].View().Hold(part, clock.now()) != nil })
}
