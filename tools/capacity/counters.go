package main

// counters holds the sums of the hosts' counters and the platform's counters at one time.
type counters struct {
	cpuSeconds     float64
	residentMiB    float64
	sentBytes      float64
	sentMessages   float64
	platformReads  float64
	platformWrites float64
}
