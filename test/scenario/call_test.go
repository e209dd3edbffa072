package scenario

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// headerCall identifies each request. Targets return the headers that they
// received, so that a caller can check that a response belongs to its request.
const headerCall = "X-Scenario-Call"

// resultKind is how a request ended for its caller.
type resultKind string

const (
	// kindDone is a complete response from a target.
	kindDone resultKind = "done"
	// kindNotRun and kindUnknown are refusals by a VM.
	kindNotRun  resultKind = "not_run"
	kindUnknown resultKind = "unknown"
	// kindFailed is any other response with an error status.
	kindFailed resultKind = "failed"
	// kindUnreachable is a refused connection.
	kindUnreachable resultKind = "unreachable"
	// kindCut is a broken connection or an incomplete response.
	kindCut resultKind = "cut"
	// kindCrossed is a response to another request.
	kindCrossed resultKind = "crossed"
)

// request holds the parts of a request that scripts choose.
type request struct {
	method, key, idempotencyKey, body string
	header                            []string
}

// result is the outcome of one attempt to send a request.
type result struct {
	kind       resultKind
	status     int
	reason     string
	retryAfter time.Duration
	header     http.Header
	body       string
	err        error
	latency    time.Duration
}

func (r *request) flags(f *flag.FlagSet) {
	f.StringVar(&r.method, "method", http.MethodGet, "HTTP method")
	f.StringVar(&r.key, "key", "", "client account key")
	f.StringVar(&r.idempotencyKey, "idem", "", "idempotency key")
	f.StringVar(&r.body, "body", "", "request body")
	f.Func("header", "one more header, as name:value", func(s string) error {
		r.header = append(r.header, s)
		return nil
	})
}

func (r *request) build(ctx context.Context, url, call string) (*http.Request, error) {
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerCall, call)
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.idempotencyKey != "" {
		// With the canonical header name, net/http would retry the request by
		// itself after its connection breaks.
		req.Header["idempotency-key"] = []string{r.idempotencyKey}
	}
	for _, h := range r.header {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	return req, nil
}

// send sends the request to one URL.
func (r *request) send(ctx context.Context, client *http.Client, url string) result {
	start := time.Now()
	res := r.exchange(ctx, client, url)
	res.latency = time.Since(start)
	return res
}

func (r *request) exchange(ctx context.Context, client *http.Client, url string) result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	call := r.idempotencyKey // the response may be that to an earlier attempt
	if call == "" {
		call = rand.Text()
	}
	req, err := r.build(ctx, url, call)
	if err != nil {
		return result{kind: kindCut, err: err}
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() && errors.Is(err, syscall.ECONNREFUSED) {
		return result{kind: kindUnreachable, err: err}
	}
	if err != nil {
		return result{kind: kindCut, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	res := result{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	res.classify(call)
	return res
}

// classify sets the kind, the reason and the retry delay from the response.
func (r *result) classify(call string) {
	var body struct {
		Outcome string      `json:"outcome"`
		Reason  string      `json:"reason"`
		Target  string      `json:"target"`
		Headers http.Header `json:"headers"`
	}
	parsed := json.Unmarshal([]byte(r.body), &body)
	if seconds, err := strconv.Atoi(r.header.Get("Retry-After")); err == nil {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	r.reason = body.Reason
	switch {
	case r.err != nil:
		r.kind = kindCut
	case parsed == nil && body.Outcome == "not_run":
		r.kind = kindNotRun
	case parsed == nil && body.Outcome == "unknown":
		r.kind = kindUnknown
	case r.status/100 != 2:
		r.kind = kindFailed
	case parsed == nil && body.Target != "" && body.Headers.Get(headerCall) != call:
		r.kind = kindCrossed
	default:
		r.kind = kindDone
	}
}

// shownHeaders are the response headers that call prints.
var shownHeaders = []string{"Retry-After", "Connection"}

// call sends one request and prints the result: call [FLAG...] URL. It fails if
// the result is not of the kind given by -want or lacks the status given by
// -status.
func (sc *scenario) call(ts *testscript.TestScript, args []string) error {
	var r request
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	r.flags(f)
	options := sc.callerFlags(f)
	want := f.String("want", string(kindDone), "kind of result, or any")
	status := f.Int("status", 0, "HTTP status of the response; 0 means any")
	if err := f.Parse(args); err != nil {
		return err
	}
	urls, err := options.resolve(sc, &r, f.Args())
	if err != nil {
		return err
	}
	client := newCaller(1)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	res := r.send(ctx, client, urls[0])
	sc.values["call.ms"] = float64(res.latency.Milliseconds())
	text := res.text()
	fmt.Fprint(ts.Stdout(), text)
	sc.recordCommand("call "+strings.Join(args, " "), text)
	if *want != "any" && string(res.kind) != *want {
		return fmt.Errorf("result is %s, want %s (%v)", res.kind, *want, res.err)
	}
	if *status != 0 && res.status != *status {
		return fmt.Errorf("status %d, want %d", res.status, *status)
	}
	return nil
}

// text returns the result as call prints it.
func (r *result) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d\n", r.kind, r.status)
	for _, name := range shownHeaders {
		if v := r.header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintln(&b, strings.TrimSpace(r.body))
	return b.String()
}

// callerOptions selects the client account and the VMs of a command's requests.
type callerOptions struct {
	account, path, vms string
}

func (sc *scenario) callerFlags(f *flag.FlagSet) *callerOptions {
	c := &callerOptions{}
	f.StringVar(&c.account, "as", "", "client account whose key is sent")
	f.StringVar(&c.path, "path", "", "path on VMs of the fleet, instead of URLs")
	f.StringVar(&c.vms, "vms", "", "numbers of the VMs for -path, such as 1,2; empty means all")
	return c
}

// resolve sets the request's key and returns the URLs to send it to.
func (c *callerOptions) resolve(sc *scenario, r *request, urls []string) ([]string, error) {
	if c.account != "" {
		r.key = sc.keys[c.account]
		if r.key == "" {
			return nil, fmt.Errorf("client account %s has no key", c.account)
		}
	}
	if c.path != "" {
		for _, name := range sc.currentFleet.vmNames(c.vms) {
			urls = append(urls, sc.currentFleet.vms[name]+c.path)
		}
	}
	if len(urls) == 0 {
		return nil, errors.New("missing URLs; give them as arguments or set -path")
	}
	return urls, nil
}

func newCaller(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
	}}
}
