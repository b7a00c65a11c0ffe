package settings

import "fmt"

// Problem is a key or value in a file that is not accepted.
type Problem struct {
	File     string
	Line     int    // from 1; 0 if the problem concerns the whole file
	Key      string // such as targets[3].address; empty if the problem concerns the whole file
	Got      string
	Accepted string
}

// String returns the problem in the form file:line: key: got value; accepted: form.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		place += ": " + p.Key
	}
	return fmt.Sprintf("%s: got %s; accepted: %s", place, p.Got, p.Accepted)
}
