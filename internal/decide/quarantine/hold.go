package quarantine

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Hold says that requests with certain parts are held back.
type Hold struct {
	// Parts are the parts of which one must be the cause. As long as they are not told apart, only
	// requests with all of them are held back.
	Parts   []core.PromptPart
	Crashes int // engines that crashed in a row
	Until   time.Duration
}

// Equal reports whether two holds are the same.
func (h Hold) Equal(other Hold) bool {
	return slices.Equal(h.Parts, other.Parts) && h.Crashes == other.Crashes && h.Until == other.Until
}

// Covers reports whether a request with the given parts is held back.
func (h Hold) Covers(parts []core.PromptPart) bool {
	return !slices.ContainsFunc(h.Parts, func(part core.PromptPart) bool { return !slices.Contains(parts, part) })
}
