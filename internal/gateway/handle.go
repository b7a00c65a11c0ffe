package gateway

// Handle names a generation's memory at a target.
type Handle struct {
	Address string // IP and port of the target that gave the handle
	ID      string
}
