// Package membership decides which entry hosts are live and which of them to stay linked
// with.
package membership
