package main

// answer is what a client got for one request.
type answer struct {
	status    int
	signature string
	body      []byte
	err       error // the answer did not come, or did not end as it should
}

// complete reports whether the client takes the answer for a complete success.
func (a answer) complete() bool { return a.err == nil && a.status/100 == 2 }
