package orders

import "siskintide.example/siskintide/internal/core"

// Version identifies one version of one model.
type Version struct {
	Model   core.ModelID
	Version core.ModelVersion
}
