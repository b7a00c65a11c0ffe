// Package message defines the messages that entry hosts send to each other. The types
// carry no encoding of their own: integer keys in the tags keep frames small, and
// package peer does the encoding.
package message
