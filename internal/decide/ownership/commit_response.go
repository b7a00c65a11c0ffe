package ownership

// CommitResponse answers CommitRows. LeaseVersion is the version of the first lease row
// written, if the answer tells it and the row still holds what was written; a host that
// renews through a peer cannot read it. Zero means that it is not known.
type CommitResponse struct {
	ID           uint64
	Outcome      Outcome
	LeaseVersion uint64
}
