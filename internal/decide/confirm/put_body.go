package confirm

import "siskintide.example/siskintide/internal/core"

// PutBody stores a proposed configuration in the object store.
type PutBody struct {
	Object string
	Config *core.Config
}

func (PutBody) step() {}
