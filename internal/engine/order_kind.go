package engine

// OrderKind names what an order asks of an engine.
type OrderKind string

const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)
