package loadgen

// EngineStats is what the engines reported during a run.
type EngineStats struct {
	Preemptions uint64 `json:"preemptions"`
	Restarts    int    `json:"restarts"` // incarnations that began, such as after a cold engine was overloaded
}
