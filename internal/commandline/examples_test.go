package commandline

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func checkFile(path string) (ExitCode, string) {
	var out bytes.Buffer
	env := Environment{In: strings.NewReader(""), Out: &out, Err: &out, Getenv: func(string) string { return "" }}
	code := Run(context.Background(), []string{"check", path}, env)
	return code, out.String()
}

// TestExamples checks that every example is accepted, and that a mistake in it is reported with
// file, line, key and accepted form. The command has no HTTP client, so it makes no calls.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		code, output := checkFile(path)
		require.Equal(t, ExitOK, code, output)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, c := range []struct{ from, to, key string }{
			{`"platform":`, `"plattform":`, "plattform"},
			{`"platform": "10.`, `"platform": "host.example.10.`, "platform"},
			{`"lease": "10s"`, `"lease": "10"`, "timing.lease"},
			{`"lease": "10s"`, `"lease": "5s", "platform_call": "3s"`, "timing.platform_call"},
			{`"log_level": "info"`, `"log_level": "loud"`, "log_level"},
			{`"role": "engine"`, `"role": "motor"`, "target_kinds[0].role"},
			{`"weight": `, `"wieght": `, "teams[0].wieght"},
			{`"token_gap_ms": 77`, `"token_gap_ms": "77ms"`, "target_kinds[0].token_gap_ms"},
			{`"kind": "runner"`, `"kind": "walker"`, "targets[0].kind"},
		} {
			wrong := strings.Replace(string(text), c.from, c.to, 1)
			if wrong == string(text) {
				continue // the mistake concerns the other kind of file
			}
			at := filepath.Join(t.TempDir(), filepath.Base(path))
			require.NoError(t, os.WriteFile(at, []byte(wrong), 0o600))
			line := 1 + strings.Count(wrong[:strings.Index(wrong, c.to)], "\n")
			code, output := checkFile(at)
			require.Equal(t, ExitInvalidInput, code, "%s: %s", path, c.to)
			require.Contains(t, output, fmt.Sprintf("%s:%d: %s: got ", at, line, c.key), c.to)
			require.Contains(t, output, "; accepted: ", c.to)
		}
	}
}
