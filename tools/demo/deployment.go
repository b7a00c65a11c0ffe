package main

import (
	"fmt"
	"net"
	"path/filepath"
)

// deployment is all that the demo runs.
type deployment struct {
	programs  string
	dir       string
	platform  string
	hosts     []*host
	targets   []*target
	processes []*process
}

// newDeployment lays out three hosts, four engines and two processes of a service over
// two data centres, on free loopback ports.
func newDeployment(programs, dir string) (*deployment, error) {
	d := &deployment{programs: programs, dir: dir}
	for _, place := range []struct{ name, dataCentre string }{
		{"oslo-a-1", "oslo-a"}, {"oslo-a-2", "oslo-a"}, {"oslo-b-1", "oslo-b"},
	} {
		d.hosts = append(d.hosts, &host{name: place.name, dataCentre: place.dataCentre})
	}
	for _, dataCentre := range []string{"oslo-a", "oslo-b"} {
		for i := 1; i <= 2; i++ {
			name := fmt.Sprintf("manus-%s-%d", dataCentre, i)
			d.targets = append(d.targets, &target{name: name, dataCentre: dataCentre, engine: true})
		}
		d.targets = append(d.targets, &target{name: "booking-" + dataCentre, dataCentre: dataCentre})
	}
	return d, d.assignPorts()
}

// assignPorts gives every listener a free port.
func (d *deployment) assignPorts() error {
	into := []*string{&d.platform}
	for _, h := range d.hosts {
		into = append(into, &h.callers, &h.peers, &h.admin)
	}
	for _, t := range d.targets {
		into = append(into, &t.address)
	}
	for _, address := range into {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return nil
}

// launch starts one of the built programs.
func (d *deployment) launch(name, program string, args ...string) (*process, error) {
	p, err := startProcess(d.dir, name, filepath.Join(d.programs, program), args...)
	if err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, nil
}

// stopAll stops every process, the hosts first, and reports the first host that did not
// end in order.
func (d *deployment) stopAll() error {
	var first error
	for i := len(d.processes) - 1; i >= 0; i-- {
		p := d.processes[i]
		if err := p.stop(); err != nil && first == nil && d.isHost(p) {
			first = fmt.Errorf("stop %s: %w", p.name, err)
		}
	}
	return first
}

func (d *deployment) isHost(p *process) bool {
	for _, h := range d.hosts {
		if h.process == p {
			return true
		}
	}
	return false
}

// host returns a host by its name.
func (d *deployment) host(name string) *host {
	for _, h := range d.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
