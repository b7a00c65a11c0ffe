package main

// proxyMode is what a proxy does to what passes through it.
type proxyMode int32

const (
	proxyPass     proxyMode = iota
	proxyDelay              // holds each piece for a while
	proxySilent             // swallows both directions
	proxyDropsIn            // swallows what goes to the server
	proxyDropsOut           // swallows what comes from the server
)
