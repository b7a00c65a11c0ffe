package main

import (
	"net"
	"net/http"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
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
	t.server = &http.Server{Handler: t.Runner}
	go func() { _ = t.server.Serve(listener) }() // returns when the target crashes
	t.Register("ready")
	s.targets = append(s.targets, t)
	return t, nil
}

// crash stops the target and resets its connections.
func (t *target) crash() {
	t.Kill()
	t.proxy.close()
	_ = t.server.Close()
}
