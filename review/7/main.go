// Command main shows that a download which a target is sending is broken off during a planned stop, because
// the same target has reset another connection that was beyond its limit.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/review/lab2"
)

const (
	slots       = 9
	queue       = 3
	pieces      = 40
	pieceBytes  = 64 << 10
	pieceTime   = 50 * time.Millisecond // a download takes 2 s
	shortTime   = 100 * time.Millisecond
	grace       = 6 * time.Second
	deadline    = 8 * time.Second
	notice      = 3 * time.Second
	fewConns    = 16
	manyConns   = 360
	closeOneIn  = 5
	shortLoops  = 16 // for each VM
	downloadGap = 300 * time.Millisecond
)

// target is a worker: it runs requests in slots, queues a few, and resets connections beyond its limit.
type target struct {
	id       string
	lab      *lab2.Lab
	listener net.Listener
	maxConns int64
	conns    atomic.Int64
	resets   atomic.Int64
	running  atomic.Int64
	waiting  atomic.Int64
	slots    chan struct{}
	mu       sync.Mutex
	runs     map[string]*run
}

// run is one execution of a request.
type run struct {
	begun, ended time.Time
	// brokenOff is set if the connection was closed while the target was at work.
	brokenOff bool
}

func newTarget(l *lab2.Lab, id, host string, maxConns int64) (*target, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, lab: l, listener: listener, maxConns: maxConns, slots: make(chan struct{}, slots), runs: map[string]*run{}}
	go t.serve()
	return t, nil
}

func (t *target) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		if t.conns.Add(1) > t.maxConns {
			t.conns.Add(-1)
			t.resets.Add(1)
			_ = c.(*net.TCPConn).SetLinger(0) // the close resets the connection
			_ = c.Close()
			continue
		}
		go func() {
			defer t.conns.Add(-1)
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if t.handle(c, r) != nil {
					return
				}
			}
		}()
	}
}

func (t *target) load() string {
	return fmt.Sprintf("%d,%d,%d", t.running.Load(), t.waiting.Load(), slots)
}

func (t *target) handle(c net.Conn, r *http.Request) error {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", t.id, t.load())
		return err
	}
	if t.waiting.Add(1) > queue && len(t.slots) == slots {
		t.waiting.Add(-1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", id, t.load())
		return err
	}
	t.slots <- struct{}{}
	t.waiting.Add(-1)
	t.running.Add(1)
	defer func() { t.running.Add(-1); <-t.slots }()
	one := &run{begun: time.Now()}
	t.mu.Lock()
	t.runs[id] = one
	t.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nX-Server-Load: %s\r\n", id, id, t.load())
	gone, watched := t.watch(c)
	var err error
	if r.URL.Path == "/files/whole" {
		_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, pieces*pieceBytes)
		piece := make([]byte, pieceBytes)
		for i := 0; i < pieces && err == nil && gone.Load() == 0; i++ {
			_, err = c.Write(piece)
			time.Sleep(pieceTime)
		}
	} else {
		time.Sleep(shortTime)
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-watched
	_ = c.SetReadDeadline(time.Time{})
	left := err != nil || gone.Load() != 0
	last := false // a worker closes a connection occasionally
	if !left && r.URL.Path != "/files/whole" {
		if last = rand.IntN(closeOneIn) == 0; last {
			head += "Connection: close\r\n"
		}
		_, err = fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", head)
	}
	t.mu.Lock()
	one.ended, one.brokenOff = time.Now(), left
	t.mu.Unlock()
	switch {
	case left:
		return errLeft
	case last:
		return errLast
	}
	return err
}

var (
	errLeft = errors.New("the caller closed the connection")
	errLast = errors.New("the response said that it is the last one")
)

// watch notices that the caller closes the connection while the target is at work. The caller sends nothing
// before it has the answer. The watch ends with the read deadline.
func (t *target) watch(c net.Conn) (gone *atomic.Int64, ended chan struct{}) {
	gone, ended = &atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			gone.Store(time.Now().UnixNano())
		}
	}()
	return gone, ended
}

// result is what a client saw of one request.
type result struct {
	id          string
	vm          string
	path        string
	sent, ended time.Time
	status      int
	sealed      bool
	bytes       int64
	complete    bool
	err         error
}

// ask sends one request on a new connection and reads the answer to its end.
func ask(vm *lab2.VM, id, path string) *result {
	out := &result{id: id, vm: vm.ID, path: path, sent: time.Now()}
	defer func() { out.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", vm.Callers, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	out.sent = time.Now()
	if _, out.err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: files.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n\r\n", path, id, deadline.Milliseconds()); out.err != nil {
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.sealed = resp.StatusCode, resp.Header.Get("X-Response-Seal") != ""
	out.bytes, out.err = io.Copy(io.Discard, resp.Body)
	out.complete = out.err == nil
	return out
}

func main() { os.Exit(play()) }

func play() int {
	folder := filepath.Join("review", "7")
	l, err := lab2.Open(folder)
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	limit := int64(fewConns)
	if !l.Trouble {
		limit = manyConns
	}
	l.Note("each target accepts %d connections", limit)
	var targets []*target
	for i, zone := range []string{"zone-a", "zone-b"} {
		t, err := newTarget(l, fmt.Sprint("i-", i+1), fmt.Sprintf("127.0.10.%d", i+1), limit)
		if err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
		targets = append(targets, t)
		l.PutTarget(t.id, "files", t.listener.Addr().String(), zone, slots, 1, time.Now(), "ready")
	}
	l.PutJSON("op", "config", map[string]any{
		"version": "00000001",
		"routes": []any{
			map[string]any{"name": "whole", "host": "files.example", "prefix": "/files/", "kind": "download", "timeout_s": 10, "target_latency_s": 3, "priority": 0, "service": "files", "max_attempts": 2, "allow_anonymous": true},
			map[string]any{"name": "short", "host": "files.example", "prefix": "/short/", "kind": "safe", "timeout_s": 10, "target_latency_s": 0.5, "priority": 1, "service": "files", "max_attempts": 2, "allow_anonymous": true},
		},
		"services": []any{map[string]any{"name": "files", "health_path": "/health", "max_connections": limit, "cold_start_s": 0, "cold_per_s": 10}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5, "idle_timeout_s": 20},
		"tenants":  []any{},
	})
	var vms []*lab2.VM
	for i, zone := range []string{"zone-a", "zone-b"} {
		v, err := l.StartVM(fmt.Sprint("vm-", i+1), zone, fmt.Sprintf("127.0.11.%d", i+1))
		if err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
		vms = append(vms, v)
	}
	if err := l.AwaitReady(); err != nil {
		return l.Close(lab2.NotRun, err.Error())
	}
	time.Sleep(3 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var results []*result
	var clients sync.WaitGroup
	var next atomic.Int64
	send := func(v *lab2.VM, path string) {
		r := ask(v, strconv.FormatInt(next.Add(1), 16), path)
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
	}
	var stopped atomic.Bool // look-ups no longer name the first VM
	for _, v := range vms {
		for i := range shortLoops {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 37 * time.Millisecond)
				for ctx.Err() == nil {
					if v == vms[0] && stopped.Load() {
						return
					}
					send(v, "/short/a")
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Go(func() {
		for ctx.Err() == nil && !stopped.Load() {
			clients.Go(func() { send(vms[0], "/files/whole") })
			time.Sleep(downloadGap)
		}
	})
	time.Sleep(6 * time.Second)
	term := time.Now()
	vms[0].Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second) // the time for which callers keep a look-up
	stopped.Store(true)
	select {
	case <-vms[0].Exited():
	case <-time.After(grace):
	}
	cancel()
	clients.Wait()
	return judge(l, targets, results, term)
}

// judge finds the requests that the stopping VM had passed on to a target and broke off while the target was at
// work on them, so that the client got no complete answer of a target.
func judge(l *lab2.Lab, targets []*target, results []*result, term time.Time) int {
	during, lost, before := 0, 0, 0
	counts := map[string]int{}
	for _, r := range results {
		counts[fmt.Sprintf("%s %s: status %d, sealed %v, whole %v", r.vm, r.path, r.status, r.sealed, r.complete)]++
		if r.vm != "vm-1" {
			continue
		}
		at := ""
		for _, t := range targets {
			t.mu.Lock()
			if one := t.runs[r.id]; one != nil && one.brokenOff {
				at = t.id
			}
			t.mu.Unlock()
		}
		answered := r.complete && r.sealed
		broken := !answered && at != "" && r.ended.Sub(r.sent) < deadline-time.Second
		around := !r.ended.Before(term) && !r.sent.After(term.Add(notice)) && !r.ended.After(term.Add(grace*5/6))
		switch {
		case broken && r.ended.Before(term):
			before++
		case around:
			during++
		}
		if r.path == "/files/whole" || (broken && around) {
			l.Note("%s by %s, request %s: sent %.3f, ended %.3f, status %d, sealed %v, %d bytes, error %v", r.path, r.vm, r.id, l.At(r.sent), l.At(r.ended), r.status, r.sealed, r.bytes, r.err)
		}
		if broken && around {
			lost++
			l.Note("LOST: %s had read request %s and passed it on to %s, which was at work on it; %s broke it off %.3f s after SIGTERM", r.vm, r.id, at, r.vm, r.ended.Sub(term).Seconds())
		}
	}
	for _, t := range targets {
		l.Note("target %s reset %d connections beyond its limit", t.id, t.resets.Load())
	}
	for k, n := range counts {
		l.Note("%5d x %s", n, k)
	}
	verdict := fmt.Sprintf("LOST: %d of %d requests around the planned stop; %d before it", lost, during, before)
	switch {
	case during == 0:
		return l.Close(lab2.NotRun, verdict)
	case lost > 0:
		return l.Close(lab2.Broken, verdict)
	}
	return l.Close(lab2.Held, verdict)
}
