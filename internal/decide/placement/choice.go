package placement

// Choice is where a request goes, and where its copy is kept.
type Choice struct {
	Target Candidate
	Copy   Candidate // the zero Candidate if there is none
}

// HasCopy reports whether a target for the copy was chosen.
func (c Choice) HasCopy() bool { return c.Copy.Target != "" }
