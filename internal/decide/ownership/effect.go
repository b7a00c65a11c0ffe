package ownership

// Effect is an action that Machine asks its caller to perform, or a change of ownership
// that it reports: ReadRows, CommitRows, Acquired or Lost.
type Effect interface {
	ownershipEffect()
}
