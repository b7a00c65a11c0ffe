package orders

// LoadedVersion is one version that an engine holds or loads.
type LoadedVersion struct {
	Version Version
	Ready   bool
}
