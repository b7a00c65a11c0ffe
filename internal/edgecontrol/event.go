package edgecontrol

// event is an input to the control goroutine, which alone calls apply.
type event interface {
	apply(s *state)
}
