package forecast

import "siskintide.example/siskintide/internal/core"

// Stream is one running or wanted stream as the forecast sees it.
type Stream struct {
	Survival *Survival
	Context  core.Tokens // prompt and output held now
	Output   core.Tokens // output produced so far
	Limit    core.Tokens // longest output
}
