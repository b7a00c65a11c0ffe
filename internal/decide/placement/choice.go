package placement

import "siskintide.example/siskintide/internal/core"

// Choice holds the target for a request, and the target that keeps its copy.
type Choice struct {
	Target Candidate
	Copy   Candidate // the zero Candidate if there is no copy
	// ExpectedCached is the number of the prompt's tokens that the target is expected not to prefill.
	ExpectedCached core.Tokens
	// Avoided is the target that would have been chosen if its pace did not count; empty if that is Target.
	Avoided core.TargetID
}

// HasCopy reports whether a target for the copy was chosen.
func (c Choice) HasCopy() bool { return c.Copy.Target != "" }
