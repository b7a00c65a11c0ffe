package recovery

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRun(t *testing.T) {
	require.NoError(t, Run(func() error { return nil }))
	require.Equal(t, io.EOF, Run(func() error { return io.EOF }))
	var caught *PanicError
	require.ErrorAs(t, Run(func() error { var m map[int]int; m[1] = 2; return nil }), &caught)
	require.Contains(t, caught.Error(), "nil map")
}
