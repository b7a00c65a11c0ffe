// Command soak runs hosts as daemon processes against simulated targets and a simulated
// platform store, injects faults drawn from a seed, and checks the guarantees for callers
// from what clients and targets recorded. It exits with status 1 if a guarantee was broken.
package main
