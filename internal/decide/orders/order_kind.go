package orders

// OrderKind says what an order does.
type OrderKind string

const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)
