package core

// TargetRole distinguishes model engines from plain services.
type TargetRole string

const (
	RoleEngine  TargetRole = "engine"
	RoleService TargetRole = "service"
)
