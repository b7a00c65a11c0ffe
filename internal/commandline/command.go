package commandline

import "github.com/integrii/flaggy"

// command is a subcommand and the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func(*session) error
}
