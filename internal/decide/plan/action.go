package plan

// Action says how a step changes an object.
type Action string

const (
	Add    Action = "add"
	Remove Action = "remove"
	Change Action = "change"
)
