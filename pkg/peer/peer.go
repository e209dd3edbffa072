// Package peer carries the protocol between VMs: twirp services on one
// listener, and the client side that reaches them by address.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// dialTimeout bounds connecting to a peer; a refused connection fails at once.
	dialTimeout = 2 * time.Second
	// idlePerPeer is the number of idle connections kept to each peer.
	idlePerPeer = 32
	// idleTimeout closes connections that are not used.
	idleTimeout = time.Minute
)

// Credentials are the certificates that VMs show each other.
type Credentials struct {
	CertFile, KeyFile string
	// CAFile holds the authority that signed every VM's certificate.
	CAFile string
}

// TLSConfig loads the credentials. The result serves both directions.
func (c Credentials) TLSConfig() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return nil, fmt.Errorf("peer authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("peer authority: no certificate in %s", c.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Dialer makes the HTTP clients that twirp clients run on.
type Dialer struct {
	client *http.Client
	scheme string
	config *tls.Config
}

// NewDialer returns a Dialer; a nil config means plain TCP.
func NewDialer(config *tls.Config) *Dialer {
	d := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return d.DialContext(ctx, network, addr)
		},
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Dialer{client: &http.Client{Transport: transport}, scheme: scheme, config: config}
}

// HTTP returns the client for all peers. Calls set deadlines by context.
func (d *Dialer) HTTP() *http.Client { return d.client }

// URL returns the base URL of the peer at host:port addr.
func (d *Dialer) URL(addr string) string { return d.scheme + "://" + addr }

// DialContext connects to a peer outside of HTTP, for users that keep
// connections of their own.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	n := &net.Dialer{Timeout: dialTimeout}
	if d.config == nil {
		return n.DialContext(ctx, network, addr)
	}
	return (&tls.Dialer{NetDialer: n, Config: d.config}).DialContext(ctx, network, addr)
}

// Close closes idle connections.
func (d *Dialer) Close() { d.client.CloseIdleConnections() }
