package forecast

// known is one curve of a book, with its blended survival as of its last observation.
type known struct {
	curve    Curve
	blended  Survival
	blendAge int    // observations of the book since the survival was blended
	usedAt   uint64 // count of the book's uses at the last use
}
