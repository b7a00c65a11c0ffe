package edgecontrol

// event is something that the control goroutine acts on.
type event interface {
	apply(s *state)
}
