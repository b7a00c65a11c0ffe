package daemon

import (
	"context"
	"fmt"
	"net"

	"siskintide.example/siskintide/internal/settings"
)

// listeners holds the listening sockets of one host. All are opened before any is served.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// listen opens all sockets, or none if one cannot be opened.
func listen(ctx context.Context, addresses settings.ListenAddresses) (*listeners, error) {
	opened := &listeners{}
	var config net.ListenConfig
	for _, socket := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", addresses.Callers, &opened.callers},
		{"peers", addresses.Peers, &opened.peers},
		{"admin", addresses.Admin, &opened.admin},
	} {
		listener, err := config.Listen(ctx, "tcp", socket.address)
		if err != nil {
			opened.close()
			return nil, fmt.Errorf("listen for %s: %w", socket.name, err)
		}
		*socket.into = listener
	}
	return opened, nil
}

// close closes the sockets that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin} {
		if listener != nil {
			listener.Close()
		}
	}
}
