package operatorapi

// Paths of the interface on the admin listener.
const (
	PathPlan     = "/operator/plan"     // POST plan.Intent, returns plan.Plan; changes nothing
	PathConfirm  = "/operator/confirm"  // POST ConfirmRequest, returns ConfirmResponse
	PathInit     = "/operator/init"     // POST ConfirmRequest on revision 0, returns ConfirmResponse
	PathStatus   = "/operator/status"   // GET, returns Status
	PathAccepted = "/operator/accepted" // GET, returns the configuration in force as SealedConfig
	PathPush     = "/operator/push"     // POST SealedConfig, returns PushResponse
)
