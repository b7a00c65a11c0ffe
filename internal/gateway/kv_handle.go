package gateway

// KVHandle names a generation's memory at a target.
type KVHandle struct {
	Address string // IP and port of the target that gave the handle
	ID      string
}
