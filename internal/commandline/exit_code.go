package commandline

// ExitCode is the exit status of the tool.
type ExitCode int

const (
	// ExitOK means that everything asked for was done.
	ExitOK ExitCode = 0
	// ExitFailed means that the plan was refused, not confirmed, or that a call failed.
	ExitFailed ExitCode = 1
	// ExitInput means that arguments, files or the key are not accepted; nothing was called.
	ExitInput ExitCode = 2
	// ExitChanged means that another change came first; the plan has to be read again.
	ExitChanged ExitCode = 3
)
