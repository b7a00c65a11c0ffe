package peer

// event is something that changes the table of links. Only the goroutine of Node.Run
// applies events.
type event interface {
	apply(t *table)
}
