package configreview

// Tenant is a tenant as it is written. No finding or difference holds a key.
type Tenant struct {
	Name     string
	Keys     []string
	Priority *int
}
