package cluster

import (
	"fmt"
	"net"
	"path/filepath"
)

// Deployment is a set of processes on loopback.
type Deployment struct {
	Dir             string // settings and logs
	PlatformAddress string // address of the platform's stand-in
	Hosts           []*Host
	Targets         []*Target
	layout          Layout
	processes       []*Process
}

// New lays out a deployment on free loopback ports. Nothing is started.
func New(dir string, layout Layout) (*Deployment, error) {
	d := &Deployment{Dir: dir, layout: layout}
	for _, dataCentre := range layout.DataCentres {
		for i := range layout.Hosts {
			d.Hosts = append(d.Hosts, &Host{Name: fmt.Sprintf("%s-%d", dataCentre, i+1), DataCentre: dataCentre})
		}
		d.addTargets(dataCentre)
	}
	return d, d.assignPorts()
}

func (d *Deployment) addTargets(dataCentre string) {
	for i := range d.layout.Engines {
		name := fmt.Sprintf("manus-%s-%d", dataCentre, i+1)
		d.Targets = append(d.Targets, &Target{Name: name, DataCentre: dataCentre, Engine: true})
	}
	for i := range d.layout.Services {
		name := fmt.Sprintf("booking-%s-%d", dataCentre, i+1)
		d.Targets = append(d.Targets, &Target{Name: name, DataCentre: dataCentre})
	}
}

// RemoveHost takes a host out of the layout before the start.
func (d *Deployment) RemoveHost(name string) {
	for i, h := range d.Hosts {
		if h.Name == name {
			d.Hosts = append(d.Hosts[:i], d.Hosts[i+1:]...)
			return
		}
	}
}

// assignPorts gives every listener a free port.
func (d *Deployment) assignPorts() error {
	into := []*string{&d.PlatformAddress}
	for _, h := range d.Hosts {
		into = append(into, &h.CallerAddress, &h.PeerAddress, &h.AdminAddress)
	}
	for _, t := range d.Targets {
		into = append(into, &t.Address)
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
func (d *Deployment) launch(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(d.Dir, name, filepath.Join(d.layout.BinDir, program), args...)
	if err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, nil
}

// StopAll stops every process, the hosts first and all at once, and reports the first
// host that did not end in order.
func (d *Deployment) StopAll() error {
	first := d.stopHosts()
	for i := len(d.processes) - 1; i >= 0; i-- {
		if !d.isHost(d.processes[i]) {
			_ = d.processes[i].Stop()
		}
	}
	return first
}

func (d *Deployment) stopHosts() error {
	results := make(chan error, len(d.Hosts))
	started := 0
	for _, h := range d.Hosts {
		if h.Process == nil {
			continue
		}
		started++
		go func() { results <- h.Process.Stop() }()
	}
	var first error
	for range started {
		if err := <-results; err != nil && first == nil {
			first = fmt.Errorf("stop a host: %w", err)
		}
	}
	return first
}

func (d *Deployment) isHost(p *Process) bool {
	for _, h := range d.Hosts {
		if h.Process == p {
			return true
		}
	}
	return false
}

// Host returns a host by its name, or nil.
func (d *Deployment) Host(name string) *Host {
	for _, h := range d.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}
