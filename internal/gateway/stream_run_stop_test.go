package gateway

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/failover"
)

// TestRunStopOutcome guards against an engine's answer that counts as the end of a run though it does not say so.
func TestRunStopOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want failover.Result
	}{
		"moved":              {nil, failover.Done},
		"no run":             {&MoveRefusedError{NoRun: true}, failover.NoRun},
		"stopped, not moved": {&MoveRefusedError{Stopped: true}, failover.StoppedOnly},
		"process has ended":  {&NoResponseError{Gone: true}, failover.StoppedOnly},
		"busy":               {&MoveRefusedError{Busy: true}, failover.InProgress},
		"no answer":          {fmt.Errorf("move: %w", &NoResponseError{Cause: io.EOF}), failover.Unknown},
		"refused":            {&MoveRefusedError{}, failover.NotDone},
		"another error":      {errors.New("status 500"), failover.NotDone},
	} {
		require.Equal(t, c.want, runStopOutcome(c.err), name)
	}
}

// TestMayRunOn guards against an engine that is not asked to stop a run which it may still work on.
func TestMayRunOn(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		want  bool
	}{
		"nothing was sent":    {&UnsentError{Cause: io.EOF}, false},
		"connection is lost":  {&ExchangeError{Phase: phaseStream, Cause: io.ErrUnexpectedEOF}, true},
		"no head":             {&ExchangeError{Phase: phaseRequest, Cause: io.ErrUnexpectedEOF}, true},
		"process has ended":   {&ExchangeError{Phase: phaseStream, Cause: io.ErrUnexpectedEOF, Gone: true}, false},
		"end within an event": {&TruncatedStreamError{Rest: 3}, false},
		"event left out":      {&EventGapError{Last: 2, Got: 4}, true},
		"no signature":        {&UnsignedResponseError{Status: 200}, true},
	} {
		require.Equal(t, c.want, mayRunOn(c.cause), name)
	}
}
