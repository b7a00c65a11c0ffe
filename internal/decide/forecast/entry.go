package forecast

// entry holds the observed output lengths of one key and the survival function blended
// from them.
type entry struct {
	lengths   histogram
	blended   Survival
	blendedAt int    // Estimator.observed when the survival function was blended
	usedAt    uint64 // Estimator.uses at the last use
}
