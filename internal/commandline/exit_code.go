package commandline

// ExitCode is the exit status of the tool.
type ExitCode int

const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the plan was refused or not confirmed, that a call failed, or that a review has findings.
	ExitFailed ExitCode = 1
	// ExitInvalidInput means that arguments, files, declarations or the key are not valid.
	ExitInvalidInput ExitCode = 2
	// ExitConflict means that another change was accepted first; the new plan has to be reviewed.
	ExitConflict ExitCode = 3
)
