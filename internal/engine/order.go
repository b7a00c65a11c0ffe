package engine

import "siskintide.example/siskintide/internal/core"

// Order is a command to an engine to load or unload a model version or adapter, or to change
// its role. Orders are idempotent. Engines that check fences refuse an order with an old
// fence.
type Order struct {
	Fence   core.Fence        `json:"fence"`
	Kind    OrderKind         `json:"kind"`
	Model   core.ModelID      `json:"model,omitempty"`
	Version core.ModelVersion `json:"version,omitempty"`
	Adapter string            `json:"adapter,omitempty"`
	Role    string            `json:"role,omitempty"`
}
