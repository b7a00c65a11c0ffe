package configreview

// Document is a routing configuration as it is written, before values that are missing or unknown are replaced.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Tenants  []Tenant
	KeysUsed bool // there is a list of tenants, even an empty one, so that routes that are not public need a key
}
