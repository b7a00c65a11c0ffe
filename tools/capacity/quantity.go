package main

// quantity is one of the quantities measured for each point.
type quantity struct {
	name  string
	unit  string
	value func(point) float64
}

// quantities lists all measured quantities.
func quantities() []quantity {
	return []quantity{
		{"cpu", "% of a core, a host", func(p point) float64 { return p.CPUPercent }},
		{"resident", "MiB, a host", func(p point) float64 { return p.ResidentMiB }},
		{"sent", "B/s to peers, a host", func(p point) float64 { return p.SentBytes }},
		{"reads", "platform reads/s, all hosts", func(p point) float64 { return p.PlatformReads }},
		{"writes", "platform writes/s, all hosts", func(p point) float64 { return p.PlatformWrites }},
	}
}
