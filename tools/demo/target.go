package main

// target is one stand-in of an engine or of a plain service.
type target struct {
	name       string
	dataCentre string
	address    string
	engine     bool
}
