// Package peer provides the client connections and the TLS settings of the protocol
// between VMs. On each VM, the protocol's twirp services share one listener.
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

	"crocusramp.dev/crocusramp/pkg/idleconn"
)

const (
	// dialTimeout bounds the time to connect to a peer; a refused connection fails at
	// once.
	dialTimeout = 2 * time.Second
	// maxIdlePerPeer is the largest number of idle connections kept per peer.
	maxIdlePerPeer = 32
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// Credentials names the certificate files for mutual TLS between VMs.
type Credentials struct {
	CertFile, KeyFile string
	// CAFile holds the certificate of the CA that signed every VM's certificate.
	CAFile string
}

// TLSConfig loads the credentials. The returned config works for both clients and
// servers.
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

// Dialer connects to peers. Twirp clients use its HTTP client.
type Dialer struct {
	client *http.Client
	scheme string
	config *tls.Config
}

// NewDialer returns a Dialer. A nil config means plain TCP.
func NewDialer(config *tls.Config) *Dialer {
	d := net.Dialer{Timeout: dialTimeout}
	t := idleconn.NewTransport(&http.Transport{
		DialContext:         d.DialContext,
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Dialer{client: &http.Client{Transport: t}, scheme: scheme, config: config}
}

// HTTPClient returns the HTTP client for all peers. It has no timeout: callers set a deadline
// in the context.
func (d *Dialer) HTTPClient() *http.Client { return d.client }

// BaseURL returns the base URL of the peer at host:port addr.
func (d *Dialer) BaseURL(addr string) string { return d.scheme + "://" + addr }

// DialContext connects to a peer, for users that manage their own connections instead of
// using the HTTP client.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if d.config == nil {
		return dialer.DialContext(ctx, network, addr)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: d.config}).DialContext(ctx, network, addr)
}

// Close closes idle connections.
func (d *Dialer) Close() { d.client.CloseIdleConnections() }
