package engine

// OrderKind is the kind of an Order.
type OrderKind string

const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)
