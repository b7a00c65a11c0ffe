package commandline

import "github.com/integrii/flaggy"

// command is one subcommand and what it does.
type command struct {
	parser *flaggy.Subcommand
	run    func(*session) error
}
