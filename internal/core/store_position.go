package core

import "cmp"

// StorePosition is a position in the history of the platform's store. When the store is restored from a
// copy, a new era begins: revisions go back, and are given out again for other content.
type StorePosition struct {
	Era      uint64
	Revision uint64
}

// Before reports whether a position is older than another one.
func (p StorePosition) Before(other StorePosition) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision)) < 0
}

// Later returns the newer one of two positions.
func (p StorePosition) Later(other StorePosition) StorePosition {
	if p.Before(other) {
		return other
	}
	return p
}
