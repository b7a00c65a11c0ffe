// Command siskintide is the operators' command-line tool: it plans and confirms changes and
// shows at which hosts they are in force.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"siskintide.example/siskintide/internal/commandline"
)

const (
	dialTimeout = 2 * time.Second  // before the next host is tried
	callTimeout = 20 * time.Second // covers a confirmation that reads the head back after lost responses
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	code := commandline.Run(ctx, os.Args[1:], commandline.Environment{
		In:     os.Stdin,
		Out:    os.Stdout,
		Err:    os.Stderr,
		Getenv: os.Getenv,
		HTTP:   &http.Client{Transport: transport, Timeout: callTimeout},
	})
	stop()
	os.Exit(int(code))
}
