package callerbudget

// Reason says why a caller was refused; empty if it was not.
type Reason string

const (
	// NoMemory is used while the memory for the class is used up.
	NoMemory Reason = "no_memory"
	// NoConnections is used while all connections are in use.
	NoConnections Reason = "no_connections"
	// AddressShare is used while memory or connections are short and the caller's address has most of them.
	AddressShare Reason = "address_share"
)
