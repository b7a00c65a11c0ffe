package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// revokedFor is longer than the bound on revoked keys, by more than a request takes.
const revokedFor = (platformtest.BootRevokeMS + 2500) * time.Millisecond

// pick draws the next fault.
func (w *world) pick(r *rand.Rand) fault {
	h, t := w.hosts[r.IntN(len(w.hosts))], w.live(r)
	long := time.Duration(500+r.IntN(3000)) * time.Millisecond
	modes := []proxyMode{proxyDelay, proxySilent, proxyDropsIn, proxyDropsOut}
	mode := modes[r.IntN(len(modes))]
	storeModes := []platformtest.StoreMode{platformtest.StoreUnavailable, platformtest.StoreHangs, platformtest.StoreSlow, platformtest.StoreDropsResponses}
	storeMode := storeModes[r.IntN(len(storeModes))]
	runnerModes := []platformtest.RunnerMode{platformtest.RunnerRefuses, platformtest.RunnerFails, platformtest.RunnerDropsResponse,
		platformtest.RunnerTruncates, platformtest.RunnerSendsWrongID, platformtest.RunnerSendsExtraBytes, platformtest.RunnerOmitsLength}
	runnerMode := runnerModes[r.IntN(len(runnerModes))]
	switch r.IntN(20) {
	case 0:
		return fault{name: "kill " + h.boot.Node, begin: func() { h.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "stop " + h.boot.Node, begin: func() { h.signal(syscall.SIGTERM) }}
	case 2:
		return fault{name: "pause " + h.boot.Node, begin: func() { h.signal(syscall.SIGSTOP) }, end: func() { h.signal(syscall.SIGCONT) }, long: long, blinds: true}
	case 3:
		return fault{name: fmt.Sprintf("store of %s: mode %d", h.boot.Node, mode), begin: func() { h.store.set(mode) }, end: func() { h.store.set(proxyPass) }, long: long, blinds: true}
	case 4:
		return fault{name: "store of " + h.boot.Node + " reset", begin: h.store.reset, blinds: true}
	case 5:
		return fault{name: fmt.Sprintf("store: mode %d", storeMode), begin: func() { w.store.SetMode(storeMode) }, end: func() { w.store.SetMode(platformtest.StoreHealthy) }, long: long, blinds: true}
	case 6:
		return fault{name: "store forgets", begin: func() { w.store.SetMode(platformtest.StoreDropsHistory) }, end: func() { w.store.SetMode(platformtest.StoreHealthy) }, long: 300 * time.Millisecond}
	case 7:
		return fault{name: fmt.Sprintf("way to %s: mode %d", t.id, mode), begin: func() { t.proxy.set(mode) }, end: func() { t.proxy.set(proxyPass) }, long: long, blinds: true}
	case 8:
		return fault{name: "way to " + t.id + " reset", begin: t.proxy.reset}
	case 9:
		return fault{name: "crash of " + t.id, begin: func() { w.replace(t, t.die) }}
	case 10, 11:
		return fault{name: "notice to " + t.id, begin: func() { w.notice(t) }, end: func() { w.replace(t, t.die) }, long: 1700 * time.Millisecond}
	case 12, 13, 14, 15:
		return fault{name: fmt.Sprintf("%s: mode %d", t.id, runnerMode), begin: func() { t.SetMode(runnerMode) }, end: func() { t.SetMode(platformtest.RunnerHealthy) }, long: long}
	case 16, 17:
		// A key is taken away from hosts that cannot hear of it, for longer than they may serve it.
		return fault{name: "store away while keys change", begin: func() { w.store.SetMode(storeMode); w.rotateKeys() },
			end: func() { w.store.SetMode(platformtest.StoreHealthy) }, long: revokedFor, blinds: true}
	case 18:
		return fault{name: "keys change", begin: w.rotateKeys}
	default:
		zone := zones[r.IntN(len(zones))]
		return fault{name: "zone " + zone + " emptied", begin: func() { w.evacuate(zone, true) }, end: func() { w.evacuate(zone, false) }, long: long}
	}
}
