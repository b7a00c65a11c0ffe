package confirm

// ReadHead asks for the head row. Attempt counts reads that settle an earlier answer, from
// 1; the executor waits before each of them.
type ReadHead struct {
	Attempt int
}

func (ReadHead) step() {}
