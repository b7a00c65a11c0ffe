package core

// Removal is the removal of a target's entry from the registry.
type Removal struct {
	Target   TargetID
	Revision uint64 // revision of the removal; entries with a greater one are newer
	Era      uint64 // of the store, in which Revision counts
}

// Position returns the position of the removal.
func (r Removal) Position() StorePosition { return StorePosition{Era: r.Era, Revision: r.Revision} }
