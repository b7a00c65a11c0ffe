package main

// step is one part of the demo.
type step struct {
	name string
	work func() error
}
