// Command harness2 plays the scripted cases of the second independent review: it starts the daemon and
// stand-ins of runners as processes on loopback addresses, and judges what clients and runners see.
package main
