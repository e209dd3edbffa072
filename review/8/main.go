// Command main shows that a request which crashes each target that runs it keeps reaching targets if its body is
// sent now with a length and now in chunks.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/review/lab2"
)

const (
	slots        = 9
	targets      = 6
	restartAfter = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	stableWindow = 3 * time.Second
	sendPause    = 4 * time.Second
	length       = 104 * time.Second
	deadline     = 2 * time.Second
	allowed      = 3
	body         = `{"stamp":"core-7","batch":"a very particular one"}`
)

// crash is an arrival of the request at a target, which crashes it.
type crash struct {
	at      time.Time
	target  string
	attempt string
}

// world holds the targets and the crashes.
type world struct {
	lab     *lab2.Lab
	mu      sync.Mutex
	crashes []crash
	starts  int
}

// target is one incarnation of a worker.
type target struct {
	w        *world
	id, zone string
	born     time.Time
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	dead     bool
}

// start starts an incarnation at an address and keeps its row in the store until it crashes.
func (w *world) start(address, zone string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	t := &target{w: w, id: fmt.Sprintf("i-%d", w.starts), zone: zone, born: time.Now(), listener: listener, conns: map[net.Conn]bool{}}
	w.mu.Unlock()
	go t.serve()
	go t.beat()
	return nil
}

func (t *target) beat() {
	for seq := 1; ; seq++ {
		t.mu.Lock()
		if t.dead {
			t.mu.Unlock()
			break
		}
		t.w.lab.PutTarget(t.id, "stamps", t.listener.Addr().String(), t.zone, slots, seq, t.born, "ready")
		t.mu.Unlock()
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat) // of silence, three in all
	t.w.lab.Store.Remove("servers", t.id)
}

func (t *target) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serveConn(c)
	}
}

func (t *target) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id, head := r.Header.Get("X-Attempt-Id"), ""
		switch expect := r.Header.Get("X-Expect-Instance"); {
		case r.URL.Path == "/health":
			head = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + t.id + "\r\n"
		case expect != "" && expect != t.id:
			head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + t.id + "\r\nX-Attempt-Id: " + id + "\r\n"
		case string(text) == body:
			t.crash(id)
			return
		default:
			time.Sleep(20 * time.Millisecond)
			head = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal-" + id + "\r\nX-Attempt-Id: " + id + "\r\n"
		}
		if _, err := fmt.Fprintf(c, "%sX-Server-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", head, slots); err != nil {
			return
		}
	}
}

// crash ends the target as the end of its process does, and has it started again.
func (t *target) crash(attempt string) {
	t.w.mu.Lock()
	t.w.crashes = append(t.w.crashes, crash{time.Now(), t.id, attempt})
	n := len(t.w.crashes)
	t.w.mu.Unlock()
	t.w.lab.Note("attempt %s crashes target %s: crash %d", attempt, t.id, n)
	t.mu.Lock()
	t.dead = true
	t.listener.Close()
	for c := range t.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	t.mu.Unlock()
	address := t.listener.Addr().String()
	time.AfterFunc(restartAfter, func() {
		if err := t.w.start(address, t.zone); err != nil {
			t.w.lab.Note("a target could not start again: %v", err)
		}
	})
}

// ask sends the request once, on a connection of its own, and returns what the client saw.
func ask(callers, id, text string, chunked bool) string {
	c, err := net.DialTimeout("tcp", callers, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("POST /stamp/7 HTTP/1.1\r\nHost: stamps.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n", id, deadline.Milliseconds())
	if chunked {
		_, err = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
	} else {
		_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	}
	if err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	detail, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, detail)
}

func main() { os.Exit(play()) }

func play() int {
	l, err := lab2.Open(filepath.Join("review", "8"))
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	l.Note("the body is sent with a length, and every other time in chunks: %v", l.Trouble)
	w := &world{lab: l}
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	for i := range targets {
		if err := w.start(fmt.Sprintf("127.0.20.%d:0", i+1), zones[i%len(zones)]); err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
	}
	l.PutJSON("op", "config", map[string]any{
		"version":  "00000001",
		"routes":   []any{map[string]any{"name": "stamp", "host": "stamps.example", "prefix": "/stamp/", "kind": "safe", "timeout_s": 2, "target_latency_s": 0.3, "priority": 0, "service": "stamps", "max_attempts": 1, "allow_anonymous": true}},
		"services": []any{map[string]any{"name": "stamps", "health_path": "/health", "max_connections": 360, "cold_start_s": 1, "cold_per_s": 10}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5, "idle_timeout_s": 20},
		"tenants":  []any{},
	})
	var vms []*lab2.VM
	for i, zone := range zones[:3] {
		v, err := l.StartVM(fmt.Sprint("vm-", i+1), zone, fmt.Sprintf("127.0.21.%d", i+1))
		if err != nil {
			return l.Close(lab2.NotRun, err.Error())
		}
		vms = append(vms, v)
	}
	if err := l.AwaitReady(); err != nil {
		return l.Close(lab2.NotRun, err.Error())
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	served := 0
	for n := 0; time.Since(begun) < length; n++ {
		v := vms[n%len(vms)]
		chunked := l.Trouble && n%2 == 1
		id := fmt.Sprintf("p%d", n)
		l.Note("attempt %s at %s, chunked %v: %s", id, v.ID, chunked, ask(v.Callers, id, body, chunked))
		for i, v := range vms { // other requests are served all the while
			if answer := ask(v.Callers, fmt.Sprintf("q%d-%d", n, i), "another body", false); answer[:3] == "200" {
				served++
			}
		}
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * sendPause)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	for i, c := range w.crashes {
		if i > 2 && c.at.After(w.crashes[2].at.Add(stableWindow)) {
			late++
		}
	}
	verdict := fmt.Sprintf("BUDGET: the request reached targets %d times, %d times later than 3 s after the third crash; %d allowed; %d other requests served", len(w.crashes), late, allowed, served)
	switch {
	case len(w.crashes) == 0 || served == 0:
		return l.Close(lab2.NotRun, verdict)
	case late > allowed:
		return l.Close(lab2.Broken, verdict)
	}
	return l.Close(lab2.Held, verdict)
}
