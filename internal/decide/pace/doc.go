// Package pace learns how long each engine takes between two events of a stream, and how much of its memory it can
// take before pauses exceed the goal.
package pace
