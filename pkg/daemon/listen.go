package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"crocusramp.dev/crocusramp/pkg/settings"
)

// listeners holds the daemon's listeners. They are bound before any component
// starts, so that a port in use fails the start with an error that names the
// settings field.
type listeners struct {
	callers, operators, peers net.Listener
}

func listen(s *settings.Settings) (*listeners, error) {
	l := &listeners{}
	binds := []struct {
		field, address string
		to             *net.Listener
	}{
		{"listen.callers", s.Listen.Callers, &l.callers},
		{"listen.operators", s.Listen.Operators, &l.operators},
		{"listen.peers", s.Listen.Peers, &l.peers},
	}
	for _, b := range binds {
		bound, err := net.Listen("tcp", b.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("%w: %s: %w", settings.ErrInvalid, b.field, err)
		}
		*b.to = bound
	}
	return l, nil
}

// advertised returns the address to publish: the configured one, or the bound
// one if the configured port is 0.
func advertised(address string, l net.Listener) string {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
		return l.Addr().String()
	}
	return address
}

func (l *listeners) close() {
	for _, bound := range []net.Listener{l.callers, l.operators, l.peers} {
		if bound != nil {
			_ = bound.Close()
		}
	}
}

// serve runs an HTTP server on a listener until the server is closed. It sends
// any other error to failed.
func serve(server *http.Server, l net.Listener, config *tls.Config, failed chan<- error) {
	if config != nil {
		l = tls.NewListener(l, config)
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- fmt.Errorf("serving %s: %w", l.Addr(), err)
	}
}

// serverTLS loads the certificate of the operators' API. It returns nil if none
// is configured.
func serverTLS(pair settings.KeyPair) (*tls.Config, error) {
	if !pair.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("%w: tls.operators: %w", settings.ErrInvalid, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
