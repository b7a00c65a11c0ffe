package core

// Removal is the removal of a target's entry from the registry.
type Removal struct {
	Target   TargetID
	Revision uint64 // revision of the removal; entries with a greater one are newer
}
