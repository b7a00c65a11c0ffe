package ownership

// CommitAnswer answers CommitRows.
type CommitAnswer struct {
	ID      uint64
	Outcome Outcome
}
