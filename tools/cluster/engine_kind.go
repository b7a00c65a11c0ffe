package cluster

// EngineKind holds the declared limits of the engines and of their queue.
type EngineKind struct {
	ColdStreams  int
	WarmStreams  int
	MemoryTokens int
	QueueMS      int
	QueueEntries int
}

// DefaultEngineKind returns limits that the engine stand-in can serve with its default options.
func DefaultEngineKind() EngineKind {
	return EngineKind{ColdStreams: 4, WarmStreams: 32, MemoryTokens: 16384, QueueMS: 10000, QueueEntries: 200}
}
