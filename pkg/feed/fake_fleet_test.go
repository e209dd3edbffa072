package feed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// vmTable is one VM's connection to the table.
type vmTable struct {
	*fakeStore
	// disconnected makes every call fail.
	disconnected atomic.Bool
	reads        atomic.Int64
	// disconnectAfterRead disconnects the VM after the next List.
	disconnectAfterRead atomic.Bool
	// delay is the round trip time to the table, in nanoseconds.
	delay atomic.Int64
}

// wait waits for the round trip and reports whether the response arrives before
// the caller's deadline. It decides that at the start: after a stall of the
// process both timers are due, and either may fire first.
func (v *vmTable) wait(ctx context.Context) bool {
	delay := time.Duration(v.delay.Load())
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		<-ctx.Done()
		return false
	}
	return sleep(ctx, delay)
}

func (v *vmTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if !v.wait(ctx) || v.disconnected.Load() {
		return storage.Item{}, storage.ErrUnavailable
	}
	return v.fakeStore.Get(ctx, key)
}

func (v *vmTable) List(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if !v.wait(ctx) || v.disconnected.Load() {
		return nil, storage.ErrUnavailable
	}
	v.reads.Add(1)
	if v.disconnectAfterRead.Load() {
		defer v.disconnected.Store(true)
	}
	return v.fakeStore.List(ctx, partition, after, limit)
}

func (v *vmTable) Transact(ctx context.Context, writes []storage.Write) error {
	if v.disconnected.Load() {
		return storage.ErrUnavailable
	}
	err := v.fakeStore.Transact(ctx, writes)
	if !v.wait(ctx) {
		return storage.ErrIndeterminate
	}
	return err
}

// vm is a VM's feed with its listener.
type vm struct {
	*Feed
	table  *vmTable
	server *httptest.Server
	peer   member.Peer
	// partitioned drops all messages from and to the other VMs without a response.
	partitioned atomic.Bool
	cancel      context.CancelFunc
	// delay returns the round trip time to a peer; nil means none.
	delay func(address string) time.Duration
}

// fleet is a set of VMs that share one store.
type fleet struct {
	t     testing.TB
	store *fakeStore
	mu    sync.Mutex
	vms   []*vm
	cfg   Config
}

// fastConfig scales the timings down, so that failures are detected sooner.
var fastConfig = Config{
	MaxAge:       900 * time.Millisecond,
	PollInterval: 100 * time.Millisecond,
	ReadTimeout:  200 * time.Millisecond,
	RelayLease:   500 * time.Millisecond,
	PullWait:     100 * time.Millisecond,
	PeerTimeout:  200 * time.Millisecond,
}

func newFleet(t testing.TB, cfg Config, domains ...string) *fleet {
	f := &fleet{t: t, store: newFakeStore(), cfg: cfg}
	for _, d := range domains {
		f.add(d)
	}
	f.start()
	t.Cleanup(func() {
		if t.Failed() {
			f.logStatus()
		}
	})
	return f
}

// logStatus logs the status of each VM.
func (f *fleet) logStatus() {
	for _, v := range f.vms {
		s := v.Status()
		f.t.Logf("%s: version %d, age %s, store reachable %t, %s ago, table read %d times",
			v.peer.ID, s.Version, s.Age, s.StoreReachable, s.SinceStoreResponse, v.table.reads.Load())
	}
}

// add adds a VM without starting it.
func (f *fleet) add(domain string) *vm {
	v := &vm{table: &vmTable{fakeStore: f.store}}
	id := fmt.Sprintf("vm%d", len(f.vms))
	mux := http.NewServeMux()
	v.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.partitioned.Load() {
			// The server detects a closed connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	}))
	f.t.Cleanup(v.server.Close)
	v.peer = member.Peer{
		ID: id, Incarnation: id + "-1", FailureDomain: domain,
		PeerAddress: strings.TrimPrefix(v.server.URL, "http://"),
	}
	cfg := f.cfg
	cfg.Table, cfg.Objects = v.table, objectStore{f.store}
	cfg.Self = v.peer
	cfg.Members = fleetView{f, v}
	v.Feed = newFeed(f.t, cfg)
	v.cfg.PeerDialer.HTTPClient().Transport = partitionTransport{v, v.cfg.PeerDialer.HTTPClient().Transport}
	prefix, h := v.Handler()
	mux.Handle(prefix, h)
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	return v
}

// start starts the VMs that are not running yet.
func (f *fleet) start() {
	for _, v := range f.vms {
		if v.cancel != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		v.cancel = cancel
		f.t.Cleanup(cancel)
		v.Start(ctx)
	}
}

// fleetView is a member.Source that shows the fleet as one VM sees it.
type fleetView struct {
	fleet *fleet
	self  *vm
}

func (v fleetView) View() *member.View {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	view := &member.View{Self: v.self.peer, Complete: true}
	for _, o := range v.fleet.vms {
		if o != v.self {
			view.Peers = append(view.Peers, o.peer)
		}
	}
	return view
}

// partitionTransport applies the VM's partition and delay to its outgoing calls.
type partitionTransport struct {
	vm   *vm
	next http.RoundTripper
}

func (t partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.vm.partitioned.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if t.vm.delay != nil {
		sleep(r.Context(), t.vm.delay(r.URL.Host))
	}
	return t.next.RoundTrip(r)
}

// CloseIdleConnections lets http.Client close the idle connections of the wrapped transport.
func (t partitionTransport) CloseIdleConnections() {
	t.next.(interface{ CloseIdleConnections() }).CloseIdleConnections()
}

// every returns a condition that holds when ok holds for every VM.
func (f *fleet) every(ok func(*vm) bool) func() bool {
	return func() bool {
		for _, v := range f.vms {
			if !ok(v) {
				return false
			}
		}
		return true
	}
}
