package peer

// replaces reports whether a new link to a host takes the place of the current one. Both
// ends come to the same choice: a new session wins; between two links of one session
// that were dialled from both ends, the one of the smaller host identifier wins; a
// second link from the same end wins, since its dialler has given up the first.
func replaces(current, candidate *link) bool {
	if current.session != candidate.session || current.dialer == candidate.dialer {
		return true
	}
	return candidate.dialer < current.dialer
}
