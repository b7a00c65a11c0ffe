package gateway

// KVHandle identifies the KV cache of a generation that a target holds.
type KVHandle struct {
	Address string // IP and port of the target that issued the handle
	ID      string
}
