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

// Serve listens at a loopback address and serves the handler until SIGTERM or SIGINT,
// or until gone, which may be nil, is closed. It then closes all connections at once: a
// stand-in stands for a machine that goes away.
func Serve(address string, handler http.Handler, gone <-chan struct{}) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err = <-served:
		return fmt.Errorf("serve at %s: %w", address, err)
	case <-ctx.Done():
	case <-gone:
	}
	err = server.Close()
	if ended := <-served; !errors.Is(ended, http.ErrServerClosed) {
		err = errors.Join(err, ended)
	}
	return err
}

// listen opens the listener after a check that others cannot reach it.
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
