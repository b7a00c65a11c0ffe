package cluster

// EngineKind is the declaration of the engines' kind.
type EngineKind struct {
	ColdStreams  int
	WarmStreams  int
	MemoryTokens int
	QueueMS      int
	QueueEntries int
}

// DefaultEngineKind fits the defaults of the engines' stand-in.
func DefaultEngineKind() EngineKind {
	return EngineKind{ColdStreams: 4, WarmStreams: 32, MemoryTokens: 16384, QueueMS: 10000, QueueEntries: 200}
}
