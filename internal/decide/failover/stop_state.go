package failover

// stopState says whether the engine has stopped the generation because this host asked for it.
type stopState uint8

const (
	notStopped stopState = iota
	maybeStopped
	stopped
)
