package main

// size is the size of one measured deployment and the number of changes made to it.
type size struct {
	Hosts   int `json:"hosts"`
	Targets int `json:"targets"`
	Teams   int `json:"teams"`
	Changes int `json:"changes"` // configuration changes confirmed within the window
}
