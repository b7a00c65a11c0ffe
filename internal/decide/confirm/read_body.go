package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// ReadBody asks for the configuration that a head names.
type ReadBody struct {
	Head revision.Head
}

func (ReadBody) step() {}
