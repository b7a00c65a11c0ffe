package main

// host is one entry host of the demo.
type host struct {
	name       string
	dataCentre string
	callers    string
	peers      string
	admin      string
	process    *process
}
