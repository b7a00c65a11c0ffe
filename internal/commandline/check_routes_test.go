package commandline

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/platform"
	"siskintide.example/siskintide/platform/platformtest"
)

// runTool runs the tool without an HTTP client, so that it can make no calls.
func runTool(args ...string) (code ExitCode, out, failure string) {
	var stdout, stderr bytes.Buffer
	env := Environment{In: strings.NewReader(""), Out: &stdout, Err: &stderr, Getenv: func(string) string { return "" }}
	code = Run(context.Background(), args, env)
	return code, stdout.String(), stderr.String()
}

func writeTemp(t *testing.T, name string, text []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

// TestCheckRoutes guards against exit codes that let a deployment script send a configuration with findings, and
// against output that lacks findings or differences, or shows a key.
func TestCheckRoutes(t *testing.T) {
	sound := platformtest.Config(8, []string{"s3cr3t"})
	next, inForce := writeTemp(t, "next.json", sound), writeTemp(t, "current.json", platformtest.Config(7, []string{"s3cr3t2"}))

	code, out, failure := runTool("check-routes", next)
	require.Equal(t, ExitOK, code, failure)
	require.Equal(t, "Findings:\n  none\n", out)

	code, out, failure = runTool("check-routes", next, "--in-force", inForce)
	require.Equal(t, ExitOK, code, failure)
	require.Equal(t, `Findings:
  none
Differences from the configuration in force:
  ~ document: version from "7" to "8"
  ~ tenant "team-1": api-keys from "1 removed" to "1 added"
`, out)

	odd := bytes.Replace(sound, []byte(`"kind":"non_idempotent","max-attempts":1`), []byte(`"kind":"non_idempotent","max-attempts":2`), 1)
	require.NotEqual(t, sound, odd)
	faulty := writeTemp(t, "faulty.json", odd)
	code, out, failure = runTool("check-routes", faulty)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, `limits: route "r/book/": max-attempts is 2, but requests of this kind may not be repeated (repeat_not_allowed)`)
	require.Contains(t, failure, "faulty.json: findings: 1")

	code, out, failure = runTool("check-routes", inForce, "--in-force", next, "--output", "json")
	require.Equal(t, ExitFailed, code)
	var review platform.ConfigReview
	require.NoError(t, json.Unmarshal([]byte(out), &review))
	require.Len(t, review.Findings, 1)
	require.Equal(t, "version_not_higher", review.Findings[0].Code)
	require.Len(t, review.Differences, 2)
	require.NotContains(t, out+failure, "s3cr3t")

	code, out, _ = runTool("check-routes", faulty, "--host-memory-mb", "0")
	require.Equal(t, ExitInvalidInput, code)
	require.Empty(t, out)
}

// TestCheckRoutesOfUnreadableFiles guards against a file that cannot be read and counts as one without findings.
func TestCheckRoutesOfUnreadableFiles(t *testing.T) {
	sound, broken := writeTemp(t, "next.json", platformtest.Config(8, nil)), writeTemp(t, "broken.json", []byte(`{"version":`))
	for _, args := range [][]string{
		{broken},
		{sound, "--in-force", broken},
		{sound, "--in-force", sound + ".missing"},
		{sound + ".missing"},
		{sound, sound},
		{writeTemp(t, "empty.json", nil)},
	} {
		code, out, failure := runTool(append([]string{"check-routes"}, args...)...)
		require.Equal(t, ExitInvalidInput, code, args)
		require.Empty(t, out, args)
		require.NotEmpty(t, failure, args)
	}
}
