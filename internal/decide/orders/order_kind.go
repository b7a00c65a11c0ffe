package orders

// OrderKind is the action that an order requests.
type OrderKind string

const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)
