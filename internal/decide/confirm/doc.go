// Package confirm decides how a confirmed plan becomes the accepted configuration. The plan
// is computed again on the accepted configuration, the new configuration is stored as an
// object, and the head row is updated by compare-and-swap. After a lost response the head is
// read back. A confirmation is idempotent: its plan takes effect at most once.
package confirm
