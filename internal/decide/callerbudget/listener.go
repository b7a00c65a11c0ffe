package callerbudget

// Listener is a listener of a host. Each has a budget of its own, so that a crowd on one keeps nobody out of the others.
type Listener string

const (
	// Callers is the listener for requests of callers.
	Callers Listener = "callers"
	// Peers is the listener for links of other hosts.
	Peers Listener = "peers"
	// Readiness is the listener for checks of the load balancer.
	Readiness Listener = "readiness"
	// Metrics is the listener for collectors of metrics.
	Metrics Listener = "metrics"
)
