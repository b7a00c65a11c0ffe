// Package confirm decides how a confirmed plan becomes the accepted configuration: it is
// worked out again on the accepted configuration, its body is stored, and the head is
// moved by compare-and-swap. An answer that is lost is settled by reading the head back.
// A confirmation may be repeated; its plan takes effect at most once.
package confirm
