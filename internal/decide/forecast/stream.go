package forecast

import "siskintide.example/siskintide/internal/core"

// Stream describes one running or requested stream.
type Stream struct {
	Survival *Survival
	Context  core.Tokens // prompt and output held now
	Output   core.Tokens // output produced so far
	Limit    core.Tokens // longest output
}
