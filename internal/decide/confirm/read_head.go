package confirm

// ReadHead reads the head row. Attempt is zero for the first read and counts the reads after
// a lost response from 1; the executor waits before each of those.
type ReadHead struct {
	Attempt int
}

func (ReadHead) step() {}
