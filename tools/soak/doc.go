// Command soak runs the daemon as separate processes against stand-ins of the platform,
// injects faults from outside by a seed, and checks from what callers and targets see that
// the promises hold. It exits 1 if one was broken.
package main
