// Package reach decides over which path requests reach targets. A VM that cannot connect to a target
// connects through a peer that can. The peer carries bytes only: all decisions about the request stay
// with the VM.
//
// A single target that cannot be reached proves nothing: it may have exited. A VM is cut off if it
// reaches no target of any failure domain while peers reach some of them.
package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/forward"
	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/target"
	"crocusramp.dev/crocusramp/pkg/tunnel"
)

const (
	// maxPeersTried is how many peers are tried for one connection.
	maxPeersTried = 3
	// maxPathTime bounds the time to find a path, after which the choice of the target may be outdated.
	maxPathTime = time.Second
	// bypassTime is how long connections to a target go through peers after this VM could not connect
	// to it and a peer could.
	bypassTime = 2 * time.Second
	// avoidTime is how long a peer is not used after it failed or declined.
	avoidTime = time.Second
)

// ErrNoPath reports that neither this VM nor a peer could be used to connect to a target. It says
// nothing about the target.
var ErrNoPath = errors.New("no path to the target")

// Tunnels connects to targets through peers. It is implemented by tunnel.Dialer.
type Tunnels interface {
	Dial(ctx context.Context, peerAddress string, t tunnel.Target) (net.Conn, error)
	CloseVia(peerAddress string)
}

// Config holds the dependencies of a Client.
type Config struct {
	// VM and Region are the ID and the region of this VM.
	VM, Region string
	Client     *forward.Client
	// DialTimeout is the Client's.
	DialTimeout time.Duration
	Targets     func() *target.Snapshot
	// Peers returns the other VMs. If it is nil, all connections are direct.
	Peers   func() []member.Peer
	Tunnels Tunnels
	// OnCutOff, if set, is called when this VM is found to be cut off.
	OnCutOff func()
	Metrics  metrics.Registry
	Log      zerolog.Logger
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	cfg Config
	// cutOff is set while this VM reaches no target directly.
	cutOff atomic.Bool
	// returning is set while it is cut off and its latest checks reached targets again.
	returning atomic.Bool
	cuts      metrics.Counter
	// bypasses counts connections that peers opened after this VM could not.
	bypasses metrics.Counter
	// lastResponse is the instant of the last response on a direct connection, 0 for none.
	lastResponse atomic.Int64
	// responseInterval is the mean time between two such responses in nanoseconds; waiting is the number
	// of requests that wait for one.
	responseInterval, waiting atomic.Int64
	// checkRequests starts a check whether this VM is cut off.
	checkRequests chan struct{}

	mu sync.Mutex
	// bypassed holds the targets that this VM could not connect to and a peer could, with the time
	// until which peers are used for them.
	bypassed map[*target.Live]time.Time
	// avoided holds the peers that failed or declined, with the time until which they are not used.
	avoided map[string]time.Time

	// linksLost ends when this VM is found to be cut off and its open connections are silent.
	linksLost atomic.Pointer[lostSignal]
}

// lostSignal holds a context that is cancelled when the open connections to targets are lost.
type lostSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newLostSignal() *lostSignal {
	s := &lostSignal{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// NewClient returns a Client. Watch must run for it to find out whether this VM is cut off.
func NewClient(c Config) *Client {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	r := &Client{
		cfg: c, checkRequests: make(chan struct{}, 1), bypassed: map[*target.Live]time.Time{}, avoided: map[string]time.Time{},
		cuts: metrics.GetOrRegisterCounter("reach.cuts", c.Metrics), bypasses: metrics.GetOrRegisterCounter("reach.bypasses", c.Metrics),
	}
	r.linksLost.Store(newLostSignal())
	metrics.NewRegisteredFunctionalGauge("reach.cut_off", c.Metrics, func() int64 {
		if r.CutOff() {
			return 1
		}
		return 0
	})
	return r
}

// CutOff reports whether this VM reaches no target directly while peers do. It does so for a time after the
// links are back if they were lost repeatedly.
func (r *Client) CutOff() bool { return r.cutOff.Load() }

// LinksLost reports whether this VM is cut off and has not reached targets again since.
func (r *Client) LinksLost() bool { return r.cutOff.Load() && !r.returning.Load() }

// LinksLostContext returns a context that is cancelled when the connections to targets that are open now
// turn out to be lost.
func (r *Client) LinksLostContext() context.Context { return r.linksLost.Load().ctx }

// Options of an exchange with a target.
type Options struct {
	// Exchange holds the options that do not depend on the path.
	Exchange forward.Options
	// Direct, if set, is the context of an exchange that does not pass through a peer.
	Direct context.Context
	// AllowsRegion reports whether the request may pass through a region. nil allows all.
	AllowsRegion func(region string) bool
}

// Do sends a request to a target. via is the ID of the peer through which it was sent, or empty. An
// error that wraps ErrNoPath is not the target's fault.
func (r *Client) Do(ctx context.Context, req *http.Request, l *target.Live, o Options) (resp *forward.Response, via string, failure *forward.Error) {
	o.Exchange.Address = l.Address
	direct := ctx
	if o.Direct != nil {
		direct = o.Direct
	}
	if r.usesPeers(l) {
		return r.doWhileCutOff(ctx, direct, req, l, o)
	}
	resp, failure, tryPeers := r.doDirectly(direct, req, o.Exchange)
	if !tryPeers {
		return resp, "", failure
	}
	throughPeer, via, peerFailure := r.doThroughPeer(ctx, req, l, o)
	if peerFailure != nil && errors.Is(peerFailure, ErrNoPath) {
		return nil, "", failure
	}
	if peerFailure == nil || !peerFailure.NotConnected {
		r.recordBypass(l)
	}
	return throughPeer, via, peerFailure
}

// doDirectly sends a request to a target directly. tryPeers is set if a peer may be able to connect to the
// target.
func (r *Client) doDirectly(ctx context.Context, req *http.Request, o forward.Options) (resp *forward.Response, failure *forward.Error, tryPeers bool) {
	started := time.Now()
	r.waiting.Add(1)
	resp, failure = r.cfg.Client.Do(ctx, req, o)
	r.waiting.Add(-1)
	switch {
	case failure == nil:
		r.recordResponse(time.Now())
		return resp, nil, false
	case failure.ContextEnded || r.cfg.Peers == nil:
		return nil, failure, false
	case !failure.NotConnected:
		if errors.Is(failure, syscall.ETIMEDOUT) {
			r.requestCheck()
		}
		return nil, failure, false
	case failure.DialTimedOut && r.respondedSince(started):
		return nil, failure, false // other targets respond, so it is this one that does not
	}
	r.requestCheck()
	return nil, failure, failure.DialTimedOut // if it is refused, most likely the target has exited
}

// doWhileCutOff sends a request to a target through a peer or, if there is none, directly, because the
// links may be back.
func (r *Client) doWhileCutOff(ctx, direct context.Context, req *http.Request, l *target.Live, o Options) (*forward.Response, string, *forward.Error) {
	resp, via, failure := r.doThroughPeer(ctx, req, l, o)
	if failure == nil || !errors.Is(failure, ErrNoPath) {
		return resp, via, failure
	}
	resp, failure = r.cfg.Client.Do(direct, req, o.Exchange)
	if failure != nil && failure.NotConnected {
		failure.Err = errors.Join(ErrNoPath, failure.Err)
	}
	return resp, "", failure
}

// epoch is the zero point of instants.
var epoch = time.Now()

// instant returns the nanoseconds from epoch to t on the monotonic clock.
func instant(t time.Time) int64 { return int64(t.Sub(epoch)) }

const (
	// intervalWeight is the weight of one interval in the moving average of responseInterval.
	intervalWeight = 0.05
	// maxInterval bounds it, so that a time without requests does not count for long.
	maxInterval = time.Second
)

// recordResponse records a response on a direct connection.
func (r *Client) recordResponse(now time.Time) {
	interval := min(instant(now)-r.lastResponse.Swap(instant(now)), int64(maxInterval))
	mean := r.responseInterval.Load()
	r.responseInterval.Store(mean + int64(intervalWeight*float64(interval-mean)))
}

// respondedSince reports whether any target has responded on a direct connection since t.
func (r *Client) respondedSince(t time.Time) bool { return r.lastResponse.Load() >= instant(t) }

// requestCheck starts a check whether this VM is cut off, unless one is pending.
func (r *Client) requestCheck() {
	select {
	case r.checkRequests <- struct{}{}:
	default:
	}
}

// DialForPeer connects to a target for a peer. It returns tunnel.ErrDeclined in place of other errors
// unless it is certain that the target is at fault and not the links of this VM.
func (r *Client) DialForPeer(ctx context.Context, address string) (net.Conn, error) {
	started := time.Now()
	c, err := r.cfg.Client.Dial(ctx, address)
	if err == nil || r.respondedSince(started) {
		return c, err
	}
	r.requestCheck()
	if errors.Is(err, syscall.ECONNREFUSED) && r.reachesAny(ctx, address) {
		return nil, err
	}
	return nil, fmt.Errorf("%w: %w", tunnel.ErrDeclined, err)
}

// usesPeers reports whether new requests to the target go through peers now.
func (r *Client) usesPeers(l *target.Live) bool {
	if r.cfg.Peers == nil {
		return false
	}
	if r.CutOff() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.bypassed[l]
	if ok && time.Now().After(until) {
		delete(r.bypassed, l)
		return false
	}
	return ok
}

// recordBypass records that a peer connected to a target that this VM could not connect to.
func (r *Client) recordBypass(l *target.Live) {
	r.bypasses.Inc(1)
	r.mu.Lock()
	r.bypassed[l] = time.Now().Add(bypassTime)
	r.mu.Unlock()
}

// doThroughPeer sends a request to a target through the first peer that connects to it. The failure
// wraps ErrNoPath if there is none.
func (r *Client) doThroughPeer(ctx context.Context, req *http.Request, l *target.Live, o Options) (*forward.Response, string, *forward.Error) {
	failure := &forward.Error{NotConnected: true, Err: ErrNoPath}
	until := time.Now().Add(maxPathTime)
	for _, p := range r.peersFor(l, o.AllowsRegion) {
		if !time.Now().Before(until) {
			break
		}
		o.Exchange.Pool = tunnelPool(l.Address, p.ID)
		o.Exchange.Dial = func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithDeadline(ctx, until)
			defer cancel()
			return r.cfg.Tunnels.Dial(ctx, p.PeerAddress, tunnelTarget(l))
		}
		resp, f := r.cfg.Client.Do(ctx, req, o.Exchange)
		if f == nil || !f.NotConnected || f.ContextEnded || !r.peerAtFault(p.ID, f) {
			return resp, p.ID, f
		}
		failure.Err = errors.Join(ErrNoPath, f.Err)
	}
	return nil, "", failure
}

// peerAtFault reports whether a tunnel was not opened because of the peer. The peer is then avoided for
// a while, unless it only does not know the target or was not given enough time.
func (r *Client) peerAtFault(id string, f error) bool {
	var e *tunnel.Error
	if !errors.As(f, &e) {
		return false
	}
	switch e.Reason {
	case tunnel.PeerFailed, tunnel.PeerDeclined:
		r.mu.Lock()
		r.avoided[id] = time.Now().Add(avoidTime)
		r.mu.Unlock()
		return true
	default:
		return e.Reason == tunnel.UnknownTarget || e.Reason == tunnel.ContextEnded // after maxPathTime
	}
}

func tunnelTarget(l *target.Live) tunnel.Target {
	return tunnel.Target{ID: l.ID, StartedAt: l.StartedAt}
}

// poolSeparator separates a target's address from the peer in the name of a pool of tunnels.
const poolSeparator = "|"

func tunnelPool(address, peer string) string { return address + poolSeparator + peer }

// CloseIdle closes the idle connections to a target that has been removed, over all paths.
func (r *Client) CloseIdle(l *target.Live) {
	r.mu.Lock()
	delete(r.bypassed, l)
	r.mu.Unlock()
	r.cfg.Client.CloseIdleIn(func(pool string) bool {
		address, _, _ := strings.Cut(pool, poolSeparator)
		return address == l.Address
	})
}
