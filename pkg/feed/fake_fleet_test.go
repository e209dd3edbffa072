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

// vmTable is one VM's way to the table.
type vmTable struct {
	*fakeStore
	cut   atomic.Bool
	reads atomic.Int64
	// cutAfterRead cuts it off after the next read of a list.
	cutAfterRead atomic.Bool
	// delay is the time to the table and back.
	delay atomic.Int64
}

// wait reports whether the answer comes before the caller gives up. That is decided at the
// start: after a stall of the process both timers are due, and either may fire first.
func (v *vmTable) wait(ctx context.Context) bool {
	delay := time.Duration(v.delay.Load())
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		<-ctx.Done()
		return false
	}
	return sleep(ctx, delay)
}

func (v *vmTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if !v.wait(ctx) || v.cut.Load() {
		return storage.Item{}, storage.ErrUnavailable
	}
	return v.fakeStore.Get(ctx, key)
}

func (v *vmTable) List(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if !v.wait(ctx) || v.cut.Load() {
		return nil, storage.ErrUnavailable
	}
	v.reads.Add(1)
	if v.cutAfterRead.Load() {
		defer v.cut.Store(true)
	}
	return v.fakeStore.List(ctx, partition, after, limit)
}

func (v *vmTable) Transact(ctx context.Context, writes []storage.Write) error {
	if v.cut.Load() {
		return storage.ErrUnavailable
	}
	err := v.fakeStore.Transact(ctx, writes)
	if !v.wait(ctx) {
		return storage.ErrIndeterminate
	}
	return err
}

// vm is a daemon's feed with its listener.
type vm struct {
	*Feed
	table  *vmTable
	server *httptest.Server
	peer   member.Peer
	// cut drops everything from and to the other VMs, without an answer.
	cut    atomic.Bool
	cancel context.CancelFunc
	// delay is the time to a peer and back; nil means none.
	delay func(address string) time.Duration
}

// fleet is some VMs on one store.
type fleet struct {
	t     testing.TB
	store *fakeStore
	mu    sync.Mutex
	vms   []*vm
	cfg   Config
}

// quick scales the timings down, so that failures are found out sooner.
var quick = Config{
	Freshness:   900 * time.Millisecond,
	Poll:        100 * time.Millisecond,
	ReadTimeout: 200 * time.Millisecond,
	RelayLease:  500 * time.Millisecond,
	PullWait:    100 * time.Millisecond,
	PeerTimeout: 200 * time.Millisecond,
}

func newFleet(t testing.TB, cfg Config, domains ...string) *fleet {
	f := &fleet{t: t, store: newFakeStore(), cfg: cfg}
	for _, d := range domains {
		f.add(d)
	}
	f.start()
	t.Cleanup(func() {
		if t.Failed() {
			f.describe()
		}
	})
	return f
}

// describe logs what each VM knows of its configuration.
func (f *fleet) describe() {
	for _, v := range f.vms {
		s := v.Status()
		f.t.Logf("%s: version %d, age %s, store reachable %t, %s ago, table read %d times",
			v.peer.ID, s.Version, s.Age, s.StoreReachable, s.SinceStore, v.table.reads.Load())
	}
}

// add makes a VM that is not yet started.
func (f *fleet) add(domain string) *vm {
	v := &vm{table: &vmTable{fakeStore: f.store}}
	id := fmt.Sprintf("vm%d", len(f.vms))
	mux := http.NewServeMux()
	v.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.cut.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // or the end of the connection goes unseen
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
	cfg.Members = viewOf{f, v}
	v.Feed = newFeed(f.t, cfg)
	v.cfg.Peers.HTTP().Transport = cutTransport{v, v.cfg.Peers.HTTP().Transport}
	prefix, h := v.Handler()
	mux.Handle(prefix, h)
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	return v
}

// start starts the VMs that do not run yet.
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

// viewOf is the fleet as one VM sees it.
type viewOf struct {
	fleet *fleet
	self  *vm
}

func (v viewOf) View() *member.View {
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

type cutTransport struct {
	vm   *vm
	next http.RoundTripper
}

func (c cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.vm.cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if c.vm.delay != nil {
		sleep(r.Context(), c.vm.delay(r.URL.Host))
	}
	return c.next.RoundTrip(r)
}

// CloseIdleConnections lets http.Client close what it keeps open.
func (c cutTransport) CloseIdleConnections() { c.next.(*http.Transport).CloseIdleConnections() }

func (f *fleet) all(ok func(*vm) bool) func() bool {
	return func() bool {
		for _, v := range f.vms {
			if !ok(v) {
				return false
			}
		}
		return true
	}
}
