// Command siskintided is the daemon that runs on every host.
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
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	path := "siskintided.jsonc"
	flaggy.SetName("siskintided")
	flaggy.SetDescription("entry host of siskintide: serves callers in front of model engines and plain services")
	flaggy.String(&path, "s", "settings", "settings file, JSON with comments")
	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.Description = "run on the users' platform, with the settings that it gives"
	flaggy.AttachSubcommand(platformCommand, 1)
	flaggy.Parse()
	if platformCommand.Used {
		os.Exit(runOnPlatform())
	}
	os.Exit(run(path))
}

// runOnPlatform runs the host with the boot settings that the platform provides.
func runOnPlatform() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	err := platform.Run(ctx, reload)
	var bootError *platform.BootError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bootError):
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	default:
		fmt.Fprintln(os.Stderr, "siskintided:", err)
		return exitFailed
	}
}

// run runs the host with the settings of a file.
func run(path string) int {
	hostSettings, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx, hostSettings); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "siskintided:", err)
		return exitFailed
	}
	return 0
}
