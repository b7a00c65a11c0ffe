package main

// proxyMode is the fault that a proxy injects.
type proxyMode int32

const (
	proxyPass     proxyMode = iota
	proxyDelay              // delays each read
	proxySilent             // drops the data of both directions
	proxyDropsIn            // drops the data sent to the server
	proxyDropsOut           // drops the data received from the server
)
