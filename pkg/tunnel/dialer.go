package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"crocusramp.dev/crocusramp/pkg/peer"
)

// maxResponseBytes bounds the header of a peer's response.
const maxResponseBytes = 2 << 10

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	peers    *peer.Dialer
	timeout  time.Duration
	registry metrics.Registry
	dialed   metrics.Counter
	watch    watch
	mu       sync.Mutex
	open     map[string]map[*conn]struct{} // by peer address
}

// NewDialer returns a Dialer. The timeout bounds the whole set-up of a tunnel. It must exceed the time
// in which peers give up dialing a target, or unreachable targets look like failed peers.
func NewDialer(p *peer.Dialer, timeout time.Duration, m metrics.Registry) *Dialer {
	return &Dialer{
		peers: p, timeout: timeout, registry: m, dialed: metrics.GetOrRegisterCounter("tunnel.dialed", m),
		open: map[string]map[*conn]struct{}{},
	}
}

// Dial returns a connection to the target through the peer at peerAddress, the host:port of its peers'
// listener. Errors are of type *Error. Closing the connection resets it, so that the peer closes the
// target's connection at once.
func (d *Dialer) Dial(ctx context.Context, peerAddress string, t Target) (net.Conn, error) {
	c, err := d.dial(ctx, peerAddress, t)
	if err == nil {
		d.dialed.Inc(1)
		return c, nil
	}
	if ctx.Err() != nil {
		err = &Error{ContextEnded, ctx.Err()}
	}
	metrics.GetOrRegisterCounter("tunnel.dial_failed."+string(err.Reason), d.registry).Inc(1)
	return nil, err
}

func (d *Dialer) dial(ctx context.Context, peerAddress string, t Target) (*conn, *Error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	netConn, err := d.peers.DialContext(ctx, "tcp", peerAddress)
	if err != nil {
		return nil, &Error{PeerFailed, err}
	}
	c, tunnelErr := d.handshake(ctx, netConn, peerAddress, t)
	if tunnelErr != nil {
		netConn.Close()
		return nil, tunnelErr
	}
	d.add(c)
	return c, nil
}

// handshake asks the peer on a new connection to connect to the target.
func (d *Dialer) handshake(ctx context.Context, netConn net.Conn, peerAddress string, t Target) (*conn, *Error) {
	tcp, ok := tcpConn(netConn)
	if !ok {
		return nil, &Error{PeerFailed, errors.New("not a TCP connection")}
	}
	if err := setUp(tcp); err != nil {
		return nil, &Error{PeerFailed, err}
	}
	detachContext := context.AfterFunc(ctx, func() { netConn.SetDeadline(time.Unix(1, 0)) })
	early, tunnelErr := connect(netConn, t)
	if !detachContext() && tunnelErr == nil {
		tunnelErr = &Error{PeerFailed, ctx.Err()}
	}
	if tunnelErr != nil {
		return nil, tunnelErr
	}
	return &conn{Conn: netConn, tcp: tcp, dialer: d, peer: peerAddress, early: early}, nil
}

// connect sends the CONNECT request and reads the response. It returns the bytes of the target that
// arrived with the response.
func connect(c net.Conn, t Target) (early []byte, _ *Error) {
	host := authority(t.ID)
	request := fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n\r\n", host, host, headerStartedAt, t.StartedAt)
	if _, err := io.WriteString(c, request); err != nil {
		return nil, &Error{PeerFailed, err}
	}
	reader := bufio.NewReaderSize(&io.LimitedReader{R: c, N: maxResponseBytes}, maxResponseBytes)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, &Error{PeerFailed, err}
	}
	if err := responseError(resp); err != nil {
		return nil, err
	}
	return buffered(reader), nil
}

// buffered returns a copy of the bytes in the reader's buffer.
func buffered(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered())
	return append([]byte(nil), b...)
}

// CloseVia closes the connections through a peer, for a peer that stopped answering.
func (d *Dialer) CloseVia(peerAddress string) {
	d.mu.Lock()
	conns := d.open[peerAddress]
	delete(d.open, peerAddress)
	d.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

func (d *Dialer) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[c.peer] == nil {
		d.open[c.peer] = map[*conn]struct{}{}
	}
	d.open[c.peer][c] = struct{}{}
	d.watch.add(c.tcp, c)
}

func (d *Dialer) remove(c *conn) {
	d.watch.remove(c.tcp)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open[c.peer], c)
	if len(d.open[c.peer]) == 0 {
		delete(d.open, c.peer)
	}
}
