package operatorapi

// Paths of the interface on the admin listener.
const (
	PathPlan     = "/operator/plan"     // POST an Intent, answered with a Plan; changes nothing
	PathConfirm  = "/operator/confirm"  // POST a Confirmation, answered with Confirmed
	PathInit     = "/operator/init"     // POST a Confirmation on revision 0, answered with Confirmed
	PathStatus   = "/operator/status"   // GET, answered with Status
	PathAccepted = "/operator/accepted" // GET, answered with the Accepted configuration in force
	PathPush     = "/operator/push"     // POST an Accepted configuration, answered with Pushed
)
