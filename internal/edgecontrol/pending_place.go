package edgecontrol

// pendingPlace is a placement that the hub has been asked for.
type pendingPlace struct {
	placeEvent
	uncovered bool // the hub's grant is needed for the send
	timer     interface{ Stop() bool }
}
