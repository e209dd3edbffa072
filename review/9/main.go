// Command main shows that the VMs together admit more of a tenant's requests than its quota allows, because a VM
// that the store turns away keeps a share of the limit that the store has given to machines that were added.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/review/lab2"
)

const (
	rate, burst = 200, 200 // of the tenant
	pressing    = 937      // requests a second: 7.5 times the usual 125, of which the quota is 1.6 times
	window      = 5 * time.Second
	overage     = 0.1
	slack       = 20
	allowed     = (rate*5+burst)*(1+overage) + slack
	added       = 4
	away        = 9 * time.Second
	targets     = 4
	slots       = 64
	runTime     = 5 * time.Millisecond
	key         = "xd9dnn2ctnfzs989anu6"
)

// run is a request that a target ran.
type run struct{ sent, arrived time.Time }

// ledger holds when requests were sent and ran.
type ledger struct {
	mu   sync.Mutex
	sent map[string]time.Time
	runs []run
	by   map[string]int // answers by VM and status
}

// serveTarget starts a worker and lists it.
func (g *ledger) serveTarget(l *lab2.Lab, id, host, zone string) error {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	var running atomic.Int64
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived := time.Now()
			attempt, h := r.Header.Get("X-Attempt-Id"), w.Header()
			if r.URL.Path == "/health" {
				h.Set("X-Instance-Id", id)
				return
			}
			h.Set("X-Attempt-Id", attempt)
			h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running.Add(1), slots))
			defer running.Add(-1)
			g.mu.Lock()
			g.runs = append(g.runs, run{g.sent[attempt], arrived})
			g.mu.Unlock()
			time.Sleep(runTime)
			h.Set("X-Response-Seal", "seal-"+attempt)
			_, _ = io.WriteString(w, "ok")
		})) // ends with the program
	}()
	l.PutTarget(id, "lookups", listener.Addr().String(), zone, slots, 1, time.Now(), "ready")
	return nil
}

// gate is the store as one machine reaches it. It can turn the machine away.
type gate struct {
	store  http.Handler
	mu     sync.Mutex
	closed bool
	cut    chan struct{} // closed with the gate, to end the calls that wait
}

// turnAway closes or opens the gate.
func (g *gate) turnAway(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = on
	if on {
		close(g.cut)
		return
	}
	g.cut = make(chan struct{})
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	closed, cut := g.closed, g.cut
	g.mu.Unlock()
	if closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	g.store.ServeHTTP(w, r.WithContext(ctx))
}

// fleet is what the clients know: the directory nodes, and the addresses that they named last.
type fleet struct {
	mu    sync.Mutex
	vms   []*lab2.VM
	named []string
}

// resolve asks a directory node where to connect, as clients do every two seconds.
func (f *fleet) resolve(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		f.mu.Lock()
		vm := f.vms[rand.IntN(len(f.vms))]
		f.mu.Unlock()
		resp, err := client.Get("http://" + vm.Locate + "/api/resolve?name=lookups.example&region=east&zone=zone-a")
		if err == nil {
			var found struct{ Addresses []string }
			if json.NewDecoder(resp.Body).Decode(&found) == nil && len(found.Addresses) > 0 {
				f.mu.Lock()
				f.named = found.Addresses
				f.mu.Unlock()
			}
			resp.Body.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (f *fleet) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.named) == 0 {
		return f.vms[0].Callers
	}
	return f.named[rand.IntN(len(f.named))]
}

// press sends requests at a steady rate until ctx ends.
func (g *ledger) press(ctx context.Context, f *fleet, prefix string) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var clients sync.WaitGroup
	started := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(started.Add(time.Duration(n) * time.Second / pressing)))
		clients.Go(func() {
			id, address := prefix+strconv.Itoa(n), f.pick()
			r, err := http.NewRequest(http.MethodGet, "http://"+address+"/lookups/"+strconv.Itoa(n%500), nil)
			if err != nil {
				panic(err)
			}
			r.Host = "lookups.example"
			r.Header.Set("X-Attempt-Id", id)
			r.Header.Set("X-Request-Deadline-Ms", "2000")
			r.Header.Set("Authorization", "Bearer "+key)
			g.mu.Lock()
			g.sent[id] = time.Now()
			g.mu.Unlock()
			status := "no answer"
			if resp, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = strconv.Itoa(resp.StatusCode)
			}
			g.mu.Lock()
			g.by[address+" "+status]++
			g.mu.Unlock()
		})
	}
	clients.Wait()
}

func main() { os.Exit(play()) }

func play() int {
	l, err := lab2.Open(filepath.Join("review", "9"))
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	l.Note("the store turns vm-1 away for %v: %v", away, l.Trouble)
	g := &ledger{sent: map[string]time.Time{}, by: map[string]int{}}
	for i := range targets {
		if err := g.serveTarget(l, fmt.Sprint("i-", i+1), fmt.Sprintf("127.0.50.%d", i+1), "zone-a"); err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
	}
	l.PutJSON("op", "config", map[string]any{
		"version":  "00000001",
		"routes":   []any{map[string]any{"name": "lookup", "host": "lookups.example", "prefix": "/lookups/", "kind": "safe", "timeout_s": 2, "target_latency_s": 0.25, "priority": 0, "service": "lookups", "max_attempts": 2, "allow_anonymous": false}},
		"services": []any{map[string]any{"name": "lookups", "health_path": "/health", "max_connections": 360, "cold_start_s": 0, "cold_per_s": 15}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":  []any{map[string]any{"name": "huka270", "api_keys": []string{key}, "priority": 1, "rate_per_s": rate, "burst": burst, "allowed_regions": []string{}}},
	})
	turned := &gate{store: l.Store.Handler(), cut: make(chan struct{})}
	gateAt, err := lab2.Serve(turned)
	if err != nil {
		return l.Close(lab2.NotRun, err.Error())
	}
	f := &fleet{}
	for i := range 3 {
		at := l.StoreAddress()
		if i == 0 {
			at = gateAt
		}
		v, err := l.StartVMWith(fmt.Sprint("vm-", i+1), "zone-a", fmt.Sprintf("127.0.51.%d", i+1), at, true)
		if err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
		f.vms = append(f.vms, v)
	}
	if err := l.AwaitReady(); err != nil {
		return l.Close(lab2.NotRun, err.Error())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.resolve(ctx)
	time.Sleep(3 * time.Second)

	// Planned work: two of the three machines leave.
	leaving := f.vms[1:]
	for _, v := range leaving {
		v.Signal(syscall.SIGTERM)
	}
	for _, v := range leaving {
		<-v.Exited()
	}
	f.mu.Lock()
	f.vms = f.vms[:1]
	f.mu.Unlock()
	time.Sleep(6 * time.Second)

	pressed := make(chan struct{})
	go func() {
		defer close(pressed)
		g.press(ctx, f, "a")
	}()
	time.Sleep(6 * time.Second)
	g.mu.Lock()
	l.Note("one VM: %d requests sent, %d ran in 6 s", len(g.sent), len(g.runs))
	g.mu.Unlock()

	// Planned work: machines are added. The store turns one machine away meanwhile.
	if l.Trouble {
		turned.turnAway(true)
		l.Note("the store turns vm-1 away")
	}
	from := time.Now()
	for i := range added {
		v, err := l.StartVMWith(fmt.Sprint("vm-", i+4), "zone-a", fmt.Sprintf("127.0.51.%d", i+4), l.StoreAddress(), false)
		if err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
		f.mu.Lock()
		f.vms = append(f.vms, v)
		f.mu.Unlock()
	}
	time.Sleep(time.Until(from.Add(away)))
	if l.Trouble {
		turned.turnAway(false)
		l.Note("the store serves vm-1 again")
	}
	time.Sleep(3 * time.Second)
	cancel()
	<-pressed
	return judge(l, g)
}

// judge finds the window with most requests that were both sent and run in it.
func judge(l *lab2.Lab, g *ledger) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.SortFunc(g.runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range g.runs {
		end, n := first.sent.Add(window), 0
		for _, r := range g.runs[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.arrived.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	perSecond := map[int]int{}
	for _, r := range g.runs {
		perSecond[int(l.At(r.arrived))]++
	}
	for s := range 60 {
		if perSecond[s] > 0 {
			l.Note("second %d: %d requests ran", s, perSecond[s])
		}
	}
	for k, n := range g.by {
		l.Note("%6d x %s", n, k)
	}
	limit := int(allowed)
	verdict := fmt.Sprintf("QUOTA: at most %d requests sent and run in %v, from %.2f s on; %d allowed", most, window, l.At(at), limit)
	switch {
	case len(g.runs) < rate:
		return l.Close(lab2.NotRun, verdict)
	case most > limit:
		return l.Close(lab2.Broken, verdict)
	}
	return l.Close(lab2.Held, verdict)
}
