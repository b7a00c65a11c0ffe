package configreview

// Bounds are facts about the hosts that the configuration has to fit.
type Bounds struct {
	BodyMemory int64 // bytes of request bodies that the smallest host can hold
}
