package core

// AdminState is the state that operators give a data centre or a target.
type AdminState string

const (
	// StateIn means that new work may be sent there.
	StateIn AdminState = "in"
	// StateOut means that no new work may be sent there; running work ends normally.
	StateOut AdminState = "out"
)
