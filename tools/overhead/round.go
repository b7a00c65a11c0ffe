package main

import "siskintide.example/siskintide/tools/load/loadgen"

// round holds the results of one direct run and one relayed run of the load.
type round struct {
	Direct      loadgen.GroupStats `json:"direct"`
	Relayed     loadgen.GroupStats `json:"relayed"`
	HostCPUS    float64            `json:"host_cpu_s"`    // processor time of the host during the relayed run
	HostPeakKiB int                `json:"host_peak_kib"` // peak resident memory of the host since its start
	Failures    []string           `json:"failures,omitempty"`
}

// tokensPerCore returns the completed tokens relayed for each second of processor time, or 0
// if no processor time was measured.
func (r round) tokensPerCore() float64 {
	if r.HostCPUS == 0 {
		return 0
	}
	return float64(r.Relayed.CompletedTokens) / r.HostCPUS
}
