// Package placement chooses the targets of requests from what is known of their load:
// this host's own sends, what the other hosts say of theirs, and how earlier sends ended.
package placement
