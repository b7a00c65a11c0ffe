package pace

// Forecast is what a stream would meet and cause at an engine.
type Forecast struct {
	Pause       float64 // milliseconds between two events while the stream's prompt is read in
	Factor      float64 // of the engine's times between events to the pool's average under the same load
	Late        float64 // probability that a pause of the stream is late
	Caused      float64 // forecast number of running streams that its prompt makes late
	Trouble     float64 // share of the engine's latest pauses that were late
	MemoryLimit float64 // share of the memory from which generations were preempted
}
