// Package harness starts a small deployment of crocusramp for the review cases: the project's stand-in of
// the metadata store, workers, and VMs as separate processes with the command of the deploy file. All
// addresses are loopback addresses.
package harness

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocusramp.dev/crocusramp/internal/child"
	"crocusramp.dev/crocusramp/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Names of the deployment.
const (
	Host   = "ficu95.example"
	Tenant = "huka270"
	Key    = "xd9dnn2ctnfzs989anu6"
)

// Trouble reports whether the case adds its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Deployment is a running deployment.
type Deployment struct {
	Store  *standin.Store
	Record *Record

	dir       string
	storeAddr string
	vms       []*VM
	mu        sync.Mutex // guards listeners
	listeners []net.Listener
}

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Line writes one line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends the process because the case could not run.
func Fail(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(NotRun)
}

// New starts the store. The record goes to the folder of the case.
func New(folder string) *Deployment {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		Fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "crocusramp-review-")
	if err != nil {
		Fail("%v", err)
	}
	d := &Deployment{Store: standin.New(), Record: &Record{file: file, start: time.Now()}, dir: dir}
	d.Store.SendEra(true)
	l := d.Listen("127.0.0.1")
	d.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, d.Store.Handler()) }()
	return d
}

// Listen listens on a free port of a loopback address.
func (d *Deployment) Listen(host string) net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		Fail("%v", err)
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, l)
	d.mu.Unlock()
	return l
}

// Close ends the processes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, v := range d.vms {
		v.Kill()
	}
	for _, l := range d.listeners {
		l.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// VM is one edge machine. Its process may be started again.
type VM struct {
	ID, Front, Ready, Directory, Peers string

	d     *Deployment
	path  string
	cmd   *exec.Cmd
	ended chan struct{}
	runs  int
}

// Zones maps each zone to its region.
var Zones = map[string]string{"ploiesti-a": "muntenia", "cluj-a": "transilvania", "iasi-a": "moldova"}

// AddVM writes the settings of a VM, with the values of a small deployment, and starts it. storeAddress
// is that of the store, or of a proxy before it; empty for the store itself.
func (d *Deployment) AddVM(zone, storeAddress string) *VM {
	v := &VM{ID: fmt.Sprintf("edge-%s-%d", zone, len(d.vms)+1), d: d}
	if storeAddress == "" {
		storeAddress = d.storeAddr
	}
	host := fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, len(d.vms)+1)
	var free []net.Listener
	for _, at := range []*string{&v.Front, &v.Ready, &v.Directory, &v.Peers} {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			Fail("%v", err)
		}
		*at = l.Addr().String()
		free = append(free, l)
	}
	for _, l := range free {
		l.Close()
	}
	v.path = filepath.Join(d.dir, v.ID+".json")
	v.writeSettings(zone, storeAddress, true)
	d.vms = append(d.vms, v)
	v.Start()
	v.writeSettings(zone, storeAddress, false) // for a later start
	return v
}

func (v *VM) writeSettings(zone, storeAddress string, first bool) {
	text, err := json.Marshal(map[string]any{
		"vm":              map[string]any{"id": v.ID, "region": Zones[zone], "failure_domain": zone},
		"listen":          map[string]any{"callers": v.Front, "locate": v.Directory, "ready": v.Ready, "peers": v.Peers},
		"failure_domains": Zones,
		"first_start":     first,
		"store":           map[string]any{"address": storeAddress, "reads_per_second": 2000, "writes_per_second": 400},
		"bounds": map[string]any{
			"drain": "2s", "grace": "6s", "locate_ttl": "5s", "repeat_ratio": 0.2, "repeat_floor": 60, "repeat_window": "10s",
			"quota_window": "5s", "quota_overage": 0.1, "quota_slack": 20, "cold_factor": 1.5, "cold_slack": 5,
		},
	})
	if err == nil {
		err = os.WriteFile(v.path+".next", text, 0o600)
	}
	if err == nil {
		err = os.Rename(v.path+".next", v.path)
	}
	if err != nil {
		Fail("%v", err)
	}
}

// Start starts the VM's process with the command of the deploy file.
func (v *VM) Start() {
	log, err := os.Create(fmt.Sprintf("%s.%d.log", strings.TrimSuffix(v.path, ".json"), v.runs))
	if err != nil {
		Fail("%v", err)
	}
	v.runs++
	cmd := exec.Command("target/crocusrampd", "edge", "--settings", v.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := child.Start(cmd); err != nil {
		Fail("%v", err)
	}
	ended := make(chan struct{})
	v.cmd, v.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}()
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// Ended is closed when the VM's process has ended.
func (v *VM) Ended() <-chan struct{} { return v.ended }

// Kill ends the VM's process.
func (v *VM) Kill() {
	_ = v.cmd.Process.Kill()
	<-v.ended
}

// RSS returns the resident memory of the VM's process in bytes, 0 if it has ended.
func (v *VM) RSS() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize()
}

// AwaitReady waits until the VM is ready.
func (v *VM) AwaitReady() {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := c.Get("http://" + v.Ready + "/api/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	Fail("%s is not ready after 15 s", v.ID)
}

// Put writes a row of the operator or of a worker.
func (d *Deployment) Put(table, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		Fail("%v", err)
	}
	d.Store.Put(table, name, text)
}

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	// Timeout and Latency (0.3 by default) are in seconds.
	Timeout, Latency float64
}

// Configure writes a configuration.
func (d *Deployment) Configure(version int, routes ...Route) {
	var out []map[string]any
	services := map[string]bool{}
	for i, r := range routes {
		services[r.Service] = true
		out = append(out, map[string]any{
			"name": fmt.Sprint("r-", i), "host": Host, "prefix": r.Prefix, "kind": r.Kind, "timeout_s": r.Timeout,
			"target_latency_s": cmp.Or(r.Latency, 0.3), "priority": 1, "service": r.Service, "max_attempts": 2, "allow_anonymous": false, "sticky": true,
			"allowed_regions": []string{},
		})
	}
	var list []map[string]any
	for s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 15.0})
	}
	d.Put("op", "config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": out, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}, "priority": 1, "rate_per_s": 0, "burst": 0, "allowed_regions": []string{}}},
	})
}

// Worker is a stand-in for a worker. It speaks HTTP/1.1 on its own, so that a case can add the faults that
// the users' pages name.
type Worker struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	Born                       int64
	// OnConn, if set, is called with each new connection.
	OnConn func(c *Conn)
	// OnHead, if set, is called when the head of a request has come. An error closes the connection.
	OnHead func(r *http.Request) error

	d        *Deployment
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	mu       sync.Mutex
	runs     map[string]int
	answers  atomic.Int64
	// Hook, if set, may answer a request instead of the worker. It returns true if it did, and closes
	// the connection by returning an error.
	Hook func(c *Conn, r *http.Request, body []byte) (handled bool, err error)
	seq  int
}

// Conn is a connection to a worker.
type Conn struct {
	net.Conn
	W *Worker
	R *bufio.Reader
	// Late holds bytes that are sent when the next request has been read.
	Late []byte
}

// AddWorker starts a worker and registers it in the store.
func (d *Deployment) AddWorker(id, service, zone string, slots, queue int) *Worker {
	w := d.NewWorker(id, service, zone, slots, queue)
	w.Start()
	return w
}

// NewWorker returns a worker that has not started.
func (d *Deployment) NewWorker(id, service, zone string, slots, queue int) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Slots: slots, Queue: queue, Born: time.Now().UnixMilli(), d: d, slots: make(chan struct{}, slots), runs: map[string]int{}}
	w.listener = d.Listen("127.0.0.1")
	w.Address = w.listener.Addr().String()
	return w
}

// Start accepts connections and registers the worker.
func (w *Worker) Start() {
	go w.serve()
	w.Register("ready")
}

// Close stops listening.
func (w *Worker) Close() { w.listener.Close() }

// Register writes the worker's entry.
func (w *Worker) Register(state string) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	w.d.Put("servers", w.ID, map[string]any{
		"address": w.Address, "born": w.Born, "info": map[string]any{"service": w.Service, "version": "v1", "zone": w.Zone, "slots": w.Slots},
		"status": map[string]any{"state": state, "seq": seq, "cold_remaining_s": 0},
	})
}

func (w *Worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		conn := &Conn{Conn: c, W: w, R: bufio.NewReader(c)}
		go func() {
			defer c.Close()
			if w.OnConn != nil {
				w.OnConn(conn)
			}
			for w.serveOne(conn) == nil {
			}
		}()
	}
}

// serveOne reads and answers one request.
func (w *Worker) serveOne(c *Conn) error {
	r, err := http.ReadRequest(c.R)
	if err != nil {
		return err
	}
	if w.OnHead != nil {
		if err := w.OnHead(r); err != nil {
			return err
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if len(c.Late) > 0 {
		w.d.Record.Line("worker %s sends again, late, on the connection from %s: %q", w.ID, c.RemoteAddr(), c.Late)
		if _, err := c.Write(c.Late); err != nil {
			return err
		}
		c.Late = nil
	}
	if w.Hook != nil {
		if handled, err := w.Hook(c, r, body); handled || err != nil {
			return err
		}
	}
	return w.Answer(c, r, body)
}

// Load returns the number of requests that run and wait.
func (w *Worker) Load() (running, waiting int) { return len(w.slots), int(w.waiting.Load()) }

// Runs returns how often the worker ran a request.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Answers returns the number of the worker's answers.
func (w *Worker) Answers() int64 { return w.answers.Load() }

// Answer answers a request as a sound worker does.
func (w *Worker) Answer(c *Conn, r *http.Request, _ []byte) error {
	w.answers.Add(1)
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path != "/health" {
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.ID {
			return w.reply(c, id, 421, "X-Instance-Id: "+w.ID+"\r\n", "")
		}
		if id == "" {
			return w.reply(c, id, 400, "X-Not-Executed: 1\r\n", "")
		}
	}
	if !w.Acquire() {
		w.d.Record.Line("worker %s is full and rejects %s %s %s", w.ID, r.Method, r.RequestURI, id)
		return w.reply(c, id, 503, w.Rejection(), "")
	}
	defer w.Release()
	if r.URL.Path == "/health" {
		return w.reply(c, id, 200, "X-Instance-Id: "+w.ID+"\r\n"+w.load(), "")
	}
	w.Run(r)
	ms := 5
	fmt.Sscanf(r.URL.Query().Get("ms"), "%d", &ms)
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return w.reply(c, id, 200, "X-Response-Seal: seal-"+w.ID+"\r\n"+w.load(), "done "+id)
}

// Run records that the worker runs a request.
func (w *Worker) Run(r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.d.Record.Line("worker %s runs %s %s %s, its run number %d here", w.ID, r.Method, r.RequestURI, id, n)
}

// Rejection returns the headers of a rejection by a full worker.
func (w *Worker) Rejection() string { return "X-Not-Executed: 1\r\n" + w.load() }

func (w *Worker) load() string {
	running, waiting := w.Load()
	return fmt.Sprintf("X-Server-Load: %d,%d,%d\r\n", running, waiting, w.Slots)
}

// Release frees a slot.
func (w *Worker) Release() { <-w.slots }

// Acquire takes a slot, or waits for one in the queue. It returns false if the queue is full.
func (w *Worker) Acquire() bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > int64(w.Queue) {
		return false
	}
	w.slots <- struct{}{}
	return true
}

// Bytes returns a whole response. The ID is echoed if the request had one.
func Bytes(id string, status int, headers, body string) []byte {
	echo := ""
	if id != "" {
		echo = "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), echo, headers, len(body), body)
}

func (w *Worker) reply(c *Conn, id string, status int, headers, body string) error {
	_, err := c.Write(Bytes(id, status, headers, body))
	return err
}

// Result is how a request ended for its client.
type Result struct {
	ID     string
	Status int // 0 if there was no answer
	Sealed bool
	Body   string
	// Err is set if the answer was not whole.
	Err error
}

var ids atomic.Int64

// Send sends one request on a new connection to a VM and waits for the answer.
func (d *Deployment) Send(v *VM, method, path, object string, deadline time.Duration) Result {
	return d.SendLimited(v, method, path, object, deadline, 1<<30)
}

// ErrTooLong tells that a client has closed the connection because the answer was too long.
var ErrTooLong = errors.New("the answer is too long")

// SendLimited is Send with a limit to the bytes that are read of the answer's body.
func (d *Deployment) SendLimited(v *VM, method, path, object string, deadline time.Duration, limit int64) Result {
	res := Result{ID: fmt.Sprintf("a%06d", ids.Add(1))}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("stamp " + res.ID)
	}
	req, err := http.NewRequest(method, "http://"+v.Front+path, body)
	if err != nil {
		Fail("%v", err)
	}
	req.Host = Host
	req.Header.Set("X-Attempt-Id", res.ID)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("Cookie", "X-Affinity-Key="+object)
	d.Record.Line("client sends %s %s %s to %s", method, path, res.ID, v.ID)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := (&http.Client{Transport: t, Timeout: deadline + time.Second}).Do(req)
	if err != nil {
		res.Err = err
		d.Record.Line("client gets no answer to %s: %v", res.ID, err)
		return res
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = ErrTooLong
	}
	res.Status, res.Sealed, res.Body, res.Err = resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", string(text), err
	how := "whole"
	if err != nil {
		how = err.Error()
	}
	d.Record.Line("client gets %d for %s, id in the answer %q, seal %q, %d bytes, %s", res.Status, res.ID, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Response-Seal"), len(text), how)
	return res
}
