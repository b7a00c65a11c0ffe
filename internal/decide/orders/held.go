package orders

// Held is one version that an engine holds or loads.
type Held struct {
	Version Version
	Ready   bool
}
