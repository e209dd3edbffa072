// Package peer carries the protocol between VMs: twirp services on one
// listener, and the client side that reaches them by address.
package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// dialTimeout bounds connecting to a peer; a refused connection fails at once.
const dialTimeout = 2 * time.Second

// Dialer makes the HTTP clients that twirp clients run on.
type Dialer struct {
	client *http.Client
	scheme string
}

// NewDialer returns a Dialer over plain TCP.
func NewDialer() *Dialer {
	d := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return d.DialContext(ctx, network, addr)
		},
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     time.Minute,
	}
	return &Dialer{client: &http.Client{Transport: transport}, scheme: "http"}
}

// HTTP returns the client for all peers. Calls set deadlines by context.
func (d *Dialer) HTTP() *http.Client { return d.client }

// URL returns the base URL of the peer at host:port addr.
func (d *Dialer) URL(addr string) string { return d.scheme + "://" + addr }

// Close closes idle connections.
func (d *Dialer) Close() { d.client.CloseIdleConnections() }
