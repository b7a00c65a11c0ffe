package rerun

// ConnectionID numbers the connections that one stream opens to targets, starting at 1.
// Events of a replaced connection have no effect.
type ConnectionID uint32
