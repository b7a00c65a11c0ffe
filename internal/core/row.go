package core

// Row is one row of the platform's transactional table. Version 0 means that the row
// does not exist; every write raises it.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}
