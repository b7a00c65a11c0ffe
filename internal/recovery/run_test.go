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
	empty := []int{}
	require.ErrorAs(t, Run(func() error { empty[len(empty)] = 1; return nil }), &caught)
	require.Contains(t, caught.Error(), "index out of range")
}
