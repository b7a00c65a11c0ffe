package main

// step is one step of the demo.
type step struct {
	name string
	run  func() error
}
