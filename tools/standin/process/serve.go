package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
)

// Serve listens at a loopback address and serves the handler until SIGTERM or SIGINT, or
// until exited, which may be nil, is closed. It then closes all connections at once without
// a graceful shutdown, because it simulates a machine that disappears.
func Serve(address string, handler http.Handler, exited <-chan struct{}) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: handler}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err = <-serveErr:
		return fmt.Errorf("serve at %s: %w", address, err)
	case <-ctx.Done():
	case <-exited:
	}
	err = server.Close()
	if closeErr := <-serveErr; !errors.Is(closeErr, http.ErrServerClosed) {
		err = errors.Join(err, closeErr)
	}
	return err
}

// listen opens the listener. It accepts loopback addresses only, so that no other machine
// can connect.
func listen(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, &AddressError{Address: address}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}
