package pool

// Effect is an action that the owner host must take: a Grant, Refuse, Revoke or Cancel.
type Effect interface {
	effect()
}
