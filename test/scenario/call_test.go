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

// headerCall marks each request; targets show the headers that they saw, so a
// caller can tell whether an answer belongs to its own request.
const headerCall = "X-Scenario-Call"

// kind is how a request ended for its caller.
type kind string

const (
	// kindDone answers came whole from a target.
	kindDone kind = "done"
	// kindNotRun and kindUnknown are the system's refusals.
	kindNotRun  kind = "not_run"
	kindUnknown kind = "unknown"
	// kindFailed answers came from a target with an error status.
	kindFailed kind = "failed"
	// kindUnreachable requests found nobody listening.
	kindUnreachable kind = "unreachable"
	// kindCut requests lost their connection or got half an answer.
	kindCut kind = "cut"
	// kindCrossed answers belonged to another request.
	kindCrossed kind = "crossed"
)

// request is what a caller sends.
type request struct {
	method, key, idempotencyKey, body string
	header                            []string
}

// result is what came back.
type result struct {
	kind       kind
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
		// The canonical name would let net/http send the request again by
		// itself where its connection breaks.
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
	call := r.idempotencyKey // an answer may be that to an earlier sending
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

// classify tells a target's answer from a refusal.
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

// shownHeaders are the headers of answers that call prints.
var shownHeaders = []string{"Retry-After", "Connection"}

// call sends one request and prints the answer: call [FLAG...] URL. It fails
// where the answer is not of the kind that -want names.
func (w *world) call(ts *testscript.TestScript, args []string) error {
	var r request
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	r.flags(f)
	from := w.callerFlags(f)
	want := f.String("want", string(kindDone), "kind of answer, or any")
	status := f.Int("status", 0, "HTTP status of the answer; 0 is any")
	if err := f.Parse(args); err != nil {
		return err
	}
	urls, err := from.resolve(w, &r, f.Args())
	if err != nil {
		return err
	}
	client := newCaller(1)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	res := r.send(ctx, client, urls[0])
	w.values["call.ms"] = float64(res.latency.Milliseconds())
	text := res.text()
	fmt.Fprint(ts.Stdout(), text)
	w.record("call "+strings.Join(args, " "), text)
	if *want != "any" && string(res.kind) != *want {
		return fmt.Errorf("answer was %s, want %s (%v)", res.kind, *want, res.err)
	}
	if *status != 0 && res.status != *status {
		return fmt.Errorf("status %d, want %d", res.status, *status)
	}
	return nil
}

// text is what call prints.
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

// caller is who sends and where to.
type caller struct {
	account, path, vms string
}

func (w *world) callerFlags(f *flag.FlagSet) *caller {
	c := &caller{}
	f.StringVar(&c.account, "as", "", "client account whose key is shown")
	f.StringVar(&c.path, "path", "", "path on VMs of the fleet, in place of URLs")
	f.StringVar(&c.vms, "vms", "", "numbers of the VMs for -path, such as 1,2; empty is all")
	return c
}

// resolve sets the key and returns the URLs to send to.
func (c *caller) resolve(w *world, r *request, urls []string) ([]string, error) {
	if c.account != "" {
		r.key = w.keys[c.account]
		if r.key == "" {
			return nil, fmt.Errorf("account %s has no key", c.account)
		}
	}
	if c.path != "" {
		for _, name := range w.current.names(c.vms) {
			urls = append(urls, w.current.vms[name]+c.path)
		}
	}
	if len(urls) == 0 {
		return nil, errors.New("name URLs, or a path with -path")
	}
	return urls, nil
}

func newCaller(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxConnsPerHost:     connections,
	}}
}
