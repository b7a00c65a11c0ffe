package edgecontrol

// permitWaiter is a request that waits for a permit of a limited target.
type permitWaiter struct {
	req   PlacementRequest
	reply placementReply
}
