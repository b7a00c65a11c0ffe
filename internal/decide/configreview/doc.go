// Package configreview reviews a routing configuration before it is put in force: what is wrong in it, what can never
// match, which limits contradict each other, and what differs from the configuration in force.
package configreview
