package orders

// LoadedVersion is a version that an engine holds or is loading.
type LoadedVersion struct {
	Version Version
	Ready   bool
}
