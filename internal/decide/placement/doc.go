// Package placement chooses targets for requests. It weighs the load that this host and
// the other hosts have placed on each target, and the outcomes of earlier attempts.
package placement
