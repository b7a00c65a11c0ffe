package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// document is one parsed file together with the lines of its keys.
type document struct {
	name     string
	starts   []int          // byte offsets at which lines start
	lines    map[string]int // line of each key, by its path such as targets[3].address
	problems []Problem
}

func newDocument(name string, data []byte) *document {
	d := &document{name: name, starts: []int{0}, lines: map[string]int{}}
	for offset, character := range data {
		if character == '\n' {
			d.starts = append(d.starts, offset+1)
		}
	}
	return d
}

// decode parses JSON with comments into out, a pointer to a structure. Every key and
// value that does not fit the structure becomes a problem.
func decode(name string, data []byte, out any) *document {
	d := newDocument(name, data)
	root, err := hujson.Parse(data)
	if err != nil {
		d.problem(0, "", err.Error(), "JSON with comments")
		return d
	}
	d.walk(&root, reflect.TypeOf(out).Elem(), "")
	if len(d.problems) > 0 {
		return d
	}
	root.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(root.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		d.problem(0, "", err.Error(), "values of the documented types")
	}
	return d
}

func (d *document) problem(line int, key, got, accepted string) {
	d.problems = append(d.problems, Problem{File: d.name, Line: line, Key: key, Got: got, Accepted: accepted})
}

// at reports a problem at a key, or at the nearest enclosing key that the file has.
func (d *document) at(key, got, accepted string) {
	place := key
	for place != "" && d.lines[place] == 0 {
		place = parentKey(place)
	}
	d.problem(d.lines[place], key, got, accepted)
}

// lineAt returns the line, from 1, of a byte offset.
func (d *document) lineAt(offset int) int {
	line, found := slices.BinarySearch(d.starts, offset)
	if found {
		return line + 1
	}
	return line
}

// err returns the problems as an error, or nil.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.problems}
}
