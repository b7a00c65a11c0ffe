package rollout

// lease is a quota that a host may still use.
type lease struct {
	number  uint64
	granted uint64
}
