package plan

// Action is the kind of change that a step makes to an object.
type Action string

const (
	Add    Action = "add"
	Remove Action = "remove"
	Change Action = "change"
)
