package main

import (
	"net"
	"net/http"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

const (
	framingCount   = 3 // of streams
	cutAfterEvents = 7 // events of a stream that is cut within the next one
	cutBytes       = 9 // bytes of the event within which it is cut
	// resumptionCount is the number of ways to treat the id of the last event that a request names: to honour it, and to send all events again.
	resumptionCount = 2
)

// target is a simulated target behind a proxy.
type target struct {
	*platformtest.Runner
	id           string
	zone         string
	engine       bool
	proxy        *proxy
	server       *http.Server
	leavingSince time.Time // zero unless it was registered as draining
	framing      platformtest.StreamFraming
	worksOn      bool // though the connection of a stream has ended
}

func (s *soak) addTarget(engine bool, zone string) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	targetProxy, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s.targetCount++
	t := &target{id: s.targetName("i"), zone: zone, engine: engine, proxy: targetProxy}
	options := platformtest.RunnerOptions{ID: t.id, Zone: zone, Address: targetProxy.address(), Engine: engine, Slots: 8, Delay: serviceLatency, Service: platformtest.WebService}
	if engine {
		options.Service, options.Delay = platformtest.EngineService, eventInterval
	}
	t.Runner = platformtest.NewRunner(s.recorder, s.platformStore, options)
	t.framing = platformtest.StreamFraming(s.targetCount % framingCount)
	t.worksOn = s.targetCount/framingCount%2 == 0
	t.SetResumption(platformtest.Resumption(s.targetCount / len(zones) % resumptionCount))
	t.spoil(platformtest.RunnerHealthy)
	t.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if part := s.deadlyPartOf(request); part != nil && engine && !t.Killed() && s.serveDeadly(t, part, w, request) {
			return
		}
		t.ServeHTTP(w, request)
	})}
	go func() { _ = t.server.Serve(listener) }() // returns when the target crashes
	t.Register("ready")
	s.targets = append(s.targets, t)
	return t, nil
}

// spoil sets a fault of the target. Engines end their streams within an event instead of omitting a length. Half of
// them work on after the connection of a stream has ended.
func (t *target) spoil(mode platformtest.RunnerMode) {
	ending := platformtest.StreamEnding{Framing: t.framing, CutAfter: -1}
	ending.WorksOn = t.worksOn
	if t.engine && mode == platformtest.RunnerOmitsLength {
		ending.CutAfter, ending.PartialBytes, ending.WorksOn = cutAfterEvents, cutBytes, false
	}
	t.SetEnding(ending)
	t.SetMode(mode)
}

// crash stops the target and resets its connections. They are reset first, since a killed runner closes them in order,
// which completes streams without a length.
func (t *target) crash() {
	t.proxy.close()
	t.Kill()
	_ = t.server.Close()
}

// crashAs stops the target as a form of a crash has it.
func (t *target) crashAs(form crashForm) {
	if form.reset {
		t.crash()
		return
	}
	_ = t.proxy.listener.Close()
	t.Kill()
	_ = t.server.Close() // the proxy passes on the orderly ends
}
