package loadgen

// EngineStats summarises the engines' load reports over a run.
type EngineStats struct {
	Preemptions uint64 `json:"preemptions"`
	Restarts    int    `json:"restarts"` // incarnations that started during the run, for example after a cold engine crashed under overload
}
