package main

import "siskintide.example/siskintide/tools/load/loadgen"

// round is one run straight to the engines and one through the entry host.
type round struct {
	Direct      loadgen.GroupStats `json:"direct"`
	Relayed     loadgen.GroupStats `json:"relayed"`
	HostCPUS    float64            `json:"host_cpu_s"`    // processor time of the host during the relayed run
	HostPeakKiB int                `json:"host_peak_kib"` // resident memory at its highest since the start
	Failures    []string           `json:"failures,omitempty"`
}

// tokensPerCore returns the tokens relayed for each second of processor time.
func (r round) tokensPerCore() float64 {
	if r.HostCPUS == 0 {
		return 0
	}
	return float64(r.Relayed.CompletedTokens) / r.HostCPUS
}
