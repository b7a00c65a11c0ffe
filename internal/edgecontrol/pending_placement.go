package edgecontrol

// pendingPlacement is a request for a target that awaits the hub's response.
type pendingPlacement struct {
	placeEvent
	needsGrant bool // the retry needs a grant from the hub
	timer      interface{ Stop() bool }
}
