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
	flaggy.Parse()
	os.Exit(run(path))
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
