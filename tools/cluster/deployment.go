package cluster

import (
	"fmt"
	"net"
	"path/filepath"
)

// Deployment is a set of hosts and stand-ins that run as processes on loopback addresses.
type Deployment struct {
	Dir             string // settings and logs
	PlatformAddress string // address of the platform's stand-in
	Hosts           []*Host
	Targets         []*Target
	layout          Layout
	processes       []*Process
}

// New assigns names and free loopback ports to the parts of a deployment. It starts nothing.
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

// RemoveHost removes a host from the deployment. It must be called before Start.
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
	addresses := []*string{&d.PlatformAddress}
	for _, h := range d.Hosts {
		addresses = append(addresses, &h.CallerAddress, &h.PeerAddress, &h.AdminAddress)
	}
	for _, t := range d.Targets {
		addresses = append(addresses, &t.Address)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return nil
}

// startProgram starts one of the programs in Layout.BinDir.
func (d *Deployment) startProgram(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(d.Dir, name, filepath.Join(d.layout.BinDir, program), args...)
	if err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, nil
}

// StopAll stops all processes: first the hosts, concurrently, and then the rest in reverse
// order of their start. It returns the error of the first host that did not stop cleanly.
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
