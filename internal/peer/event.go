package peer

// event is a change to the table of links. Only the goroutine of Node.Run applies events.
type event interface {
	apply(t *linkTable)
}
