package pace

// Summary is what is known of the engines of a pool, for metrics.
type Summary struct {
	Engines          int     // with reports in the last minute
	Mean             Curve   // of an average engine
	Slowest, Fastest float64 // factors
	LowestLimit      float64 // lowest share of the memory from which generations were preempted
	MostHarm         float64 // highest usual rate of streams that a prompt makes late, per stream that runs at the engine
}
