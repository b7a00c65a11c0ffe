package edgecontrol

// asker is a host that this one is the hub of.
type asker struct {
	sent uint64 // number of the last knowledge sent
	lost bool   // a message could not be queued; all has to be sent again
}
