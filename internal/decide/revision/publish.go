package revision

import "siskintide.example/siskintide/internal/core"

// Publish puts a configuration in force.
type Publish struct {
	Config *core.Config
}

func (Publish) effect() {}
