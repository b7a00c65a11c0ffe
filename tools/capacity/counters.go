package main

// reading is the sum of the hosts' counters at one moment.
type reading struct {
	cpuSeconds     float64
	residentMiB    float64
	sentBytes      float64
	sentMessages   float64
	platformReads  float64
	platformWrites float64
}
