package main

import "fmt"

// point holds the measurements of one deployment. Figures for each host are means over all
// hosts.
type point struct {
	Sweep          string  `json:"sweep"`
	Size           size    `json:"size"`
	CPUPercent     float64 `json:"cpu_percent"` // of one core, for each host
	ResidentMiB    float64 `json:"resident_mib"`
	SentBytes      float64 `json:"sent_bytes_per_second"` // to peers, for each host
	SentMessages   float64 `json:"sent_messages_per_second"`
	PlatformReads  float64 `json:"platform_reads_per_second"` // of the whole deployment
	PlatformWrites float64 `json:"platform_writes_per_second"`
}

// String returns one line for the report.
func (p point) String() string {
	return fmt.Sprintf("%-8s hosts %3d targets %3d teams %4d changes %d: cpu %.2f%% of a core, %.1f MiB, %.0f B/s and %.1f messages/s to peers; platform %.1f reads/s, %.2f writes/s",
		p.Sweep, p.Size.Hosts, p.Size.Targets, p.Size.Teams, p.Size.Changes,
		p.CPUPercent, p.ResidentMiB, p.SentBytes, p.SentMessages, p.PlatformReads, p.PlatformWrites)
}
