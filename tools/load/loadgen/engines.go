package loadgen

// Engines is what the engines reported during a run.
type Engines struct {
	Preemptions uint64 `json:"preemptions"`
	Restarts    int    `json:"restarts"` // incarnations that began, such as after a cold engine was overloaded
}
