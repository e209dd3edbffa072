package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two entries that a worker writes.
const heartbeat = 1500 * time.Millisecond

// Arrival is a request that reached a worker.
type Arrival struct {
	At time.Duration
	// Via names the link over which it came; empty for the worker's own address.
	Via        string
	ID, Tenant string
	// Target is the path and query as they arrived.
	Target string
	// Status is the status of the answer; 0 if the connection ended before.
	Status int
}

// Worker is a worker as the platform's pages describe it. Its fields must not change after Start.
type Worker struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work is how long a request runs.
	Work time.Duration
	// SendBuffer is the size of the send buffer of its connections; 0 is the system's.
	SendBuffer int
	// Answer, if set, writes the response to a request that has run; otherwise it is a few bytes.
	Answer http.HandlerFunc
	// Refuse, if set, returns whether the worker turns a request away, and the time after which it may come back.
	Refuse func(via string) (refuse bool, retryAfter time.Duration)

	d       *Deployment
	address string
	born    int64
	slots   chan struct{}

	mu       sync.Mutex
	seq      int
	state    string
	waiting  int
	arrivals []Arrival
	stop     chan struct{}
	servers  []*http.Server
	// leaving is set when its answers say that it leaves, ended when it writes no more entries.
	leaving, ended bool
}

// StartWorker starts a worker that writes its entry to the store.
func (d *Deployment) StartWorker(w *Worker) error {
	w.d, w.born, w.state = d, time.Now().UnixMilli(), "ready"
	w.slots, w.stop = make(chan struct{}, w.Slots), make(chan struct{})
	l, err := listen("127.0.0.1")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.serve(l, "")
	go w.beat()
	return nil
}

// serve serves the worker on a listener that stands for a link.
func (w *Worker) serve(l net.Listener, via string) {
	s := &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.handle(rw, r, via) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew && w.SendBuffer > 0 {
				_ = tcp.SetWriteBuffer(w.SendBuffer) // the system's size serves too
			}
		},
	}
	go func() { _ = s.Serve(l) }()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.d.onClose(func() { _ = s.Close() })
}

// Leave takes the worker out of the list. It serves on.
func (w *Worker) Leave() {
	w.endBeats()
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.d.Store.Remove("servers", w.ID)
}

// endBeats ends the heartbeats.
func (w *Worker) endBeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.ended = true
		close(w.stop)
	}
}

// Exit ends the worker with all its connections. Its entry stays until the platform removes it.
func (w *Worker) Exit() {
	w.endBeats()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// Address returns the worker's address.
func (w *Worker) Address() string { return w.address }

// SetState sets the state that the worker writes from now on, and writes it.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.Write()
}

// Entry returns the worker's next entry.
func (w *Worker) Entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	value, err := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.Service, "zone": w.Zone, "version": "v1", "slots": w.Slots},
		"status": map[string]any{"state": w.state, "seq": w.seq, "cold_remaining_s": 0},
	})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return value
}

// Write writes the worker's next entry to the store.
func (w *Worker) Write() { w.d.Store.Put("servers", w.ID, w.Entry()) }

// beat writes an entry each heartbeat until the worker ends.
func (w *Worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		w.Write()
		select {
		case <-ticker.C:
		case <-w.stop:
			return
		}
	}
}

// Arrivals returns the requests that have reached the worker, without health checks and misdirected ones.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// Busy returns how many requests occupy a slot.
func (w *Worker) Busy() int { return len(w.slots) }

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request, via string) {
	h := rw.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", w.ID)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.ID {
		h.Set("X-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	n := len(w.arrivals)
	w.arrivals = append(w.arrivals, Arrival{At: w.d.Now(), Via: via, ID: id, Tenant: r.Header.Get("X-Tenant"), Target: r.RequestURI})
	if w.leaving || w.state == "draining" {
		h.Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	status := w.answer(rw, r, via)
	w.mu.Lock()
	w.arrivals[n].Status = status
	w.mu.Unlock()
}

// answer runs or refuses a request and returns the status.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, via string) int {
	refuse := func(retryAfter time.Duration) int {
		if retryAfter > 0 {
			rw.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		}
		rw.Header().Set("X-Not-Executed", "1")
		w.setLoad(rw.Header())
		rw.WriteHeader(http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable
	}
	if w.Refuse != nil {
		if refused, retryAfter := w.Refuse(via); refused {
			return refuse(retryAfter)
		}
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !w.takeSlot(ctx) {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		return refuse(0)
	}
	defer func() { <-w.slots }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(w.Work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(http.StatusGatewayTimeout)
		return http.StatusGatewayTimeout
	}
	rw.Header().Set("X-Response-Seal", "seal-"+w.ID)
	w.setLoad(rw.Header())
	if w.Answer != nil {
		w.Answer(rw, r)
		return http.StatusOK
	}
	fmt.Fprintln(rw, "done")
	return http.StatusOK
}

// takeSlot waits for a slot in the queue. It returns false if the queue is full or ctx ends.
func (w *Worker) takeSlot(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	w.mu.Lock()
	full := w.waiting >= w.Queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) setLoad(h http.Header) {
	w.mu.Lock()
	waiting := w.waiting
	w.mu.Unlock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.slots), waiting, w.Slots))
}

// Configure writes a configuration.
func (d *Deployment) Configure(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return errors.Join(errors.New("configuration"), err)
	}
	d.Store.Put("op", "config", value)
	d.Note("configuration %v is acknowledged", config["version"])
	return nil
}
