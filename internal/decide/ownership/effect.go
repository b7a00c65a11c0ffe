package ownership

// Effect is something that the machine asks its caller to do: ReadRows, CommitRows,
// Acquired or Lost.
type Effect interface {
	ownershipEffect()
}
