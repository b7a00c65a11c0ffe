package pool

// Effect is something that the owner host must do: a Grant, Refuse, Revoke or Cancel.
type Effect interface {
	effect()
}
