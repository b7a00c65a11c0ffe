package gateway

import "io"

// budgetReader counts what it reads against a budget.
type budgetReader struct {
	source io.Reader
	share  bufferShare
}

// Read implements io.Reader. It returns a *TooLargeError if the budget is exhausted.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if growErr := r.share.grow(int64(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
}
