package peer

// replaces reports whether a new link to a host replaces the current one. Both ends
// choose the same link:
//   - A link of another session replaces the current one.
//   - If both ends dialled in the same session, the link dialled by the host with the
//     smaller identifier is kept.
//   - A second link from the same dialer replaces the first, which the dialer has given up.
func replaces(current, candidate *link) bool {
	if current.session != candidate.session || current.dialer == candidate.dialer {
		return true
	}
	return candidate.dialer < current.dialer
}
