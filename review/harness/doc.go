// Command harness runs the scripted cases of the review. It starts the daemon with the command of
// the deploy file, on loopback, between stand-ins of clients, runners and the platform's store.
package main
