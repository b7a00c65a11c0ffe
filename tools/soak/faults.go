package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// keyChangeOutage is how long the store fails while keys change. It exceeds the time limit
// for the use of revoked keys by 2.5 s, more than the longest stream takes (123 events, one
// each eventInterval).
const keyChangeOutage = (platformtest.BootRevokeMS + 2500) * time.Millisecond

// randomFault returns the next fault. The order of its draws must not change, so that a
// seed keeps its faults. The caller must hold s.mu.
func (s *soak) randomFault(r *rand.Rand) fault {
	h, t := s.hosts[r.IntN(len(s.hosts))], s.randomLiveTarget(r)
	duration := time.Duration(500+r.IntN(3000)) * time.Millisecond
	modes := []proxyMode{proxyDelay, proxySilent, proxyDropsIn, proxyDropsOut}
	mode := modes[r.IntN(len(modes))]
	storeModes := []platformtest.StoreMode{platformtest.StoreUnavailable, platformtest.StoreHangs, platformtest.StoreSlow, platformtest.StoreDropsResponses}
	storeMode := storeModes[r.IntN(len(storeModes))]
	runnerModes := []platformtest.RunnerMode{platformtest.RunnerRefuses, platformtest.RunnerFails, platformtest.RunnerDropsResponse,
		platformtest.RunnerTruncates, platformtest.RunnerSendsWrongID, platformtest.RunnerSendsExtraBytes, platformtest.RunnerOmitsLength}
	runnerMode := runnerModes[r.IntN(len(runnerModes))]
	switch r.IntN(20) {
	case 0:
		return fault{name: "kill " + h.boot.Node, breaks: h.boot.Node, start: func() { h.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "stop " + h.boot.Node, start: func() { h.signal(syscall.SIGTERM) }}
	case 2:
		return fault{name: "pause " + h.boot.Node, breaks: h.boot.Node, start: func() { h.signal(syscall.SIGSTOP) }, end: func() { h.signal(syscall.SIGCONT) }, duration: duration, suspendsTimeBounds: true}
	case 3:
		return fault{name: fmt.Sprintf("store connection of %s: mode %d", h.boot.Node, mode), start: func() { h.storeProxy.setMode(mode) }, end: func() { h.storeProxy.setMode(proxyPass) }, duration: duration, suspendsTimeBounds: true}
	case 4:
		return fault{name: "store connections of " + h.boot.Node + " reset", start: h.storeProxy.reset, suspendsTimeBounds: true}
	case 5:
		return fault{name: fmt.Sprintf("store: mode %d", storeMode), start: func() { s.platformStore.SetMode(storeMode) }, end: func() { s.platformStore.SetMode(platformtest.StoreHealthy) }, duration: duration, suspendsTimeBounds: true}
	case 6:
		return fault{name: "store drops its history", start: func() { s.platformStore.SetMode(platformtest.StoreDropsHistory) }, end: func() { s.platformStore.SetMode(platformtest.StoreHealthy) }, duration: 300 * time.Millisecond}
	case 7:
		return fault{name: fmt.Sprintf("connection to %s: mode %d", t.id, mode), breaks: t.id, start: func() { t.proxy.setMode(mode) }, end: func() { t.proxy.setMode(proxyPass) }, duration: duration, suspendsTimeBounds: true}
	case 8:
		return fault{name: "connections to " + t.id + " reset", breaks: t.id, start: t.proxy.reset}
	case 9:
		return fault{name: "crash of " + t.id, breaks: t.id, start: func() { s.replaceTarget(t, t.crash) }}
	case 10, 11:
		return fault{name: "drain of " + t.id, breaks: t.id, start: func() { s.announceLeaving(t) }, end: func() { s.replaceTarget(t, t.crash) }, duration: 1700 * time.Millisecond}
	case 12, 13, 14, 15:
		return fault{name: fmt.Sprintf("%s: mode %d", t.id, runnerMode), breaks: t.id, start: func() { t.spoil(runnerMode) }, end: func() { t.spoil(platformtest.RunnerHealthy) }, duration: duration}
	case 16, 17:
		// A key is revoked while hosts cannot read the store, for longer than they may accept it.
		return fault{name: "store unavailable while keys change", start: func() { s.platformStore.SetMode(storeMode); s.rotateKeys() },
			end: func() { s.platformStore.SetMode(platformtest.StoreHealthy) }, duration: keyChangeOutage, suspendsTimeBounds: true}
	case 18:
		return fault{name: "key rotation", start: s.rotateKeys}
	default:
		zone := zones[r.IntN(len(zones))]
		return fault{name: "zone " + zone + " evacuated", start: func() { s.setEvacuated(zone, true) }, end: func() { s.setEvacuated(zone, false) }, duration: duration}
	}
}
