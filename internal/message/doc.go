// Package message defines the messages that hosts send to each other. The encoding is done
// by package peer; the integer keys in the struct tags keep frames small.
package message
