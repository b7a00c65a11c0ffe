// Command harness3 runs the cases of the third review. Each case starts hosts as separate processes, with the command of
// the deploy file, against stand-ins on loopback.
package main
