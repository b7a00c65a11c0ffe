package gateway

import "io"

// budgetReader counts what it reads against a budget.
type budgetReader struct {
	source io.Reader
	budget *bufferBudget
	taken  int64
}

// Read implements io.Reader. It returns a *TooLargeError if the budget is exhausted.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.budget.take(int64(n)) {
		return 0, &TooLargeError{Part: "answers together", Limit: maxBufferedBytes}
	}
	r.taken += int64(n)
	return n, err
}

// release returns what was taken to the budget.
func (r *budgetReader) release() { r.budget.give(r.taken) }
