package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"
)

// document is one parsed file with the line numbers of its keys and the problems found.
type document struct {
	name       string
	lineStarts []int          // byte offset of the start of each line
	lines      map[string]int // line of each key, by its path such as targets[3].address
	problems   []Problem
}

func newDocument(name string, data []byte) *document {
	d := &document{name: name, lineStarts: []int{0}, lines: map[string]int{}}
	for offset, character := range data {
		if character == '\n' {
			d.lineStarts = append(d.lineStarts, offset+1)
		}
	}
	return d
}

// decode parses JSON with comments into out, a pointer to a struct. Every unknown key and
// every value of the wrong type is added as a problem.
func decode(name string, data []byte, out any) *document {
	d := newDocument(name, data)
	root, err := hujson.Parse(data)
	if err != nil {
		d.addProblem(0, "", err.Error(), "JSON with comments")
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
		d.addProblem(0, "", err.Error(), "values of the documented types")
	}
	return d
}

func (d *document) addProblem(line int, key, got, accepted string) {
	d.problems = append(d.problems, Problem{File: d.name, Line: line, Key: key, Got: got, Accepted: accepted})
}

// addProblemAt adds a problem with the line of a key, or with the line of the nearest enclosing
// key that the file has.
func (d *document) addProblemAt(key, got, accepted string) {
	place := key
	for place != "" && d.lines[place] == 0 {
		place = parentKey(place)
	}
	d.addProblem(d.lines[place], key, got, accepted)
}

// lineAt returns the line, from 1, of a byte offset.
func (d *document) lineAt(offset int) int {
	line, found := slices.BinarySearch(d.lineStarts, offset)
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
