package ownership

// CommitResponse is the response to CommitRows. LeaseVersion is the version of the first
// lease row written, if the response includes it and the row still holds what was written.
// It is zero if the version is unknown; a host that renews through a peer cannot read it.
type CommitResponse struct {
	ID           uint64
	Outcome      Outcome
	LeaseVersion uint64
}
