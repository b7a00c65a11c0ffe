package relay

// arrivalKind tells what a connection's goroutine reports.
type arrivalKind uint8

const (
	arrivalStarted arrivalKind = iota + 1
	arrivalFrame
	arrivalBroken
	arrivalLost
	arrivalRefused
	arrivalExited // the goroutine posts nothing more
)
