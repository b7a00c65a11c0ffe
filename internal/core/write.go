package core

// Write sets one row in a transaction. A nil Value deletes the row.
type Write struct {
	Key   string
	Value []byte
}
