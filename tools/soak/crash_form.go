package main

// crashForm is what a host sees of an engine that crashes under a part of a prompt.
type crashForm struct {
	head   bool
	events int64 // sent after the head
	reset  bool  // connections are reset; otherwise they are closed in order
}

// crashForms lists the forms from which a deadly part draws one.
var crashForms = []crashForm{{reset: true}, {}, {head: true, reset: true}, {head: true, events: 1},
	{head: true, events: 2, reset: true}, {head: true, events: 3}}
