package main

import (
	"net"
	"net/http"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// target is a runner behind a proxy.
type target struct {
	*platformtest.Runner
	id      string
	zone    string
	engine  bool
	proxy   *proxy
	server  *http.Server
	leaving time.Time // zero unless it was told to leave
}

func (w *world) addTarget(engine bool, zone string) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	way, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	w.made++
	t := &target{id: w.name("i"), zone: zone, engine: engine, proxy: way}
	options := platformtest.RunnerOptions{ID: t.id, Zone: zone, Address: way.address(), Engine: engine, Slots: 8, Delay: callTime, Service: platformtest.WebService}
	if engine {
		options.Service, options.Delay = platformtest.EngineService, eventTime
	}
	t.Runner = platformtest.NewRunner(w.account, w.store, options)
	t.server = &http.Server{Handler: t.Runner}
	go func() { _ = t.server.Serve(listener) }() // ends when the target is closed
	t.Register("ready")
	w.targets = append(w.targets, t)
	return t, nil
}

// die ends the target as a crash does.
func (t *target) die() {
	t.Kill()
	t.proxy.close()
	_ = t.server.Close()
}
