package main

import "time"

// span is a time in which a fault lasted.
type span struct {
	begun, ended time.Time
}
