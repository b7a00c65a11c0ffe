package operatortext

import (
	"fmt"
	"io"
)

// writer writes lines until the first error, which it keeps.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}
