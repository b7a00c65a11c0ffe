package rollout

// comparison counts, of the answers of both versions in one stratum, those with a property such as failure.
type comparison struct {
	newBad, newAll, oldBad, oldAll int
	badWindows                     []uint32 // in which the new version has answers with the property
}

// excess returns by how much the fraction of the new version's answers with the property exceeds that of the old
// version's.
func (c comparison) excess() float64 {
	return float64(c.newBad)/float64(max(c.newAll, 1)) - float64(c.oldBad)/float64(max(c.oldAll, 1))
}
