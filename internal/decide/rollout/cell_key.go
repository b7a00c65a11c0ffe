package rollout

// cellKey identifies a cell.
type cellKey struct {
	stratum
	isNew bool
}
