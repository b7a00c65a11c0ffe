package core

// Row is one row of the platform's transactional table. Every write raises Version; 0 means
// that the row does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}
