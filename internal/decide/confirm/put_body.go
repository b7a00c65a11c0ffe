package confirm

import "siskintide.example/siskintide/internal/core"

// PutBody asks to store the body of a proposed configuration.
type PutBody struct {
	Object string
	Config *core.Config
}

func (PutBody) step() {}
