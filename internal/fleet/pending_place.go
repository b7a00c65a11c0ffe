package fleet

// pendingPlace is a placement that the hub has been asked for.
type pendingPlace struct {
	placeEvent
	timer interface{ Stop() bool }
}
