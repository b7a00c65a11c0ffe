package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// ReadBody reads the configuration that a head refers to.
type ReadBody struct {
	Head revision.Head
}

func (ReadBody) step() {}
