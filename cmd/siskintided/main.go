// Command siskintided is the daemon that runs on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"siskintide.example/siskintide/internal/daemon"
	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/platform"
)

const (
	exitFailed     = 1
	exitWrongInput = 2
)

func main() {
	path := "siskintided.jsonc"
	flaggy.SetName("siskintided")
	flaggy.SetDescription("entry host of siskintide: serves callers in front of model engines and plain services")
	flaggy.String(&path, "s", "settings", "settings file, JSON with comments")
	onPlatform := flaggy.NewSubcommand("platform")
	onPlatform.Description = "run on the users' platform, with the settings that it gives"
	flaggy.AttachSubcommand(onPlatform, 1)
	flaggy.Parse()
	if onPlatform.Used {
		os.Exit(runOnPlatform())
	}
	os.Exit(run(path))
}

// runOnPlatform serves with the platform's own boot settings.
func runOnPlatform() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings are read once; a change takes effect at the next start.
	signal.Ignore(syscall.SIGHUP)
	err := platform.Run(ctx)
	var unusable *platform.BootError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &unusable):
		fmt.Fprintln(os.Stderr, err)
		return exitWrongInput
	default:
		fmt.Fprintln(os.Stderr, "siskintided:", err)
		return exitFailed
	}
}

func run(path string) int {
	checked, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitWrongInput
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx, checked); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "siskintided:", err)
		return exitFailed
	}
	return 0
}
