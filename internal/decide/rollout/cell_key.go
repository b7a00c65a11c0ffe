package rollout

// cellKey identifies a cell.
type cellKey struct {
	stratum
	window uint32
	isNew  bool
}
