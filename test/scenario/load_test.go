package scenario

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxLoadRate and maxLoadTime bound every load.
	maxLoadRate = 2000 // requests a second
	maxLoadTime = 30 * time.Second
	// maxInFlight is how many requests of one load wait for answers.
	maxInFlight = 2000
	// callTimeout is how long a caller waits for one answer.
	callTimeout = 20 * time.Second
)

// load sends requests at a steady rate, whatever becomes of them.
type load struct {
	request
	urls     []string
	rate     float64
	duration time.Duration
	// connections bounds those to each VM.
	connections int
	// unique gives each request an idempotency key of its own.
	unique bool
	// idemPrefix begins the idempotency keys of unique requests.
	idemPrefix string
	// attempts is how often one request is sent, to one URL after the other,
	// until it is done. All have the same idempotency key.
	attempts int
	// retryWait passes before a request is sent again.
	retryWait time.Duration

	cancel context.CancelFunc
	ended  chan struct{}

	mu        sync.Mutex
	counts    map[string]float64
	latencies []time.Duration
	lastDone  time.Time
	examples  map[kind]string
}

// load starts a load in the background: load NAME [FLAG...] URL...
func (w *world) load(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "load NAME [FLAG...] URL..."); err != nil {
		return err
	}
	l := &load{ended: make(chan struct{}), counts: map[string]float64{}, examples: map[kind]string{}}
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	l.flags(f)
	from := w.callerFlags(f)
	f.Float64Var(&l.rate, "rate", 50, "requests a second")
	f.DurationVar(&l.duration, "for", 5*time.Second, "length")
	f.IntVar(&l.connections, "connections", 64, "connections to each VM")
	f.BoolVar(&l.unique, "unique", false, "an idempotency key for each request")
	f.StringVar(&l.idemPrefix, "idem-prefix", "", "begins the keys of -unique")
	f.IntVar(&l.attempts, "attempts", 1, "sendings of each request")
	f.DurationVar(&l.retryWait, "retry-wait", 0, "time before a request is sent again")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	var err error
	if l.urls, err = from.resolve(w, &l.request, f.Args()); err != nil {
		return err
	}
	if l.rate <= 0 || l.rate > maxLoadRate || l.duration > maxLoadTime {
		return fmt.Errorf("load needs a rate up to %d a second and a length up to %s", maxLoadRate, maxLoadTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	w.loads[args[0]] = l
	go l.run(ctx)
	return nil
}

func (w *world) stopLoads() {
	for _, l := range w.loads {
		l.cancel()
		<-l.ended
	}
}

func (l *load) run(ctx context.Context) {
	defer close(l.ended)
	client := newCaller(l.connections)
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	places := make(chan struct{}, maxInFlight)
	start := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / l.rate * float64(time.Second))
		if due >= l.duration {
			return
		}
		select {
		case <-time.After(time.Until(start.Add(due))):
		case <-ctx.Done():
			return
		}
		select {
		case places <- struct{}{}:
		default:
			l.add("skipped", 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-places }()
			l.one(ctx, client, i)
		})
	}
}

// one sends one request until it is done or its attempts are used up.
func (l *load) one(ctx context.Context, client *http.Client, i int) {
	r := l.request
	if l.unique {
		r.idempotencyKey = l.idemPrefix + rand.Text()
	}
	var res result
	start := time.Now()
	for attempt := range l.attempts {
		if attempt > 0 {
			l.add("resent", 1)
			time.Sleep(l.retryWait)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		res = r.send(attemptCtx, client, l.urls[(i+attempt)%len(l.urls)])
		cancel()
		l.add("attempt."+string(res.kind), 1)
		if res.kind == kindDone || ctx.Err() != nil {
			break
		}
	}
	l.record(res, time.Since(start))
}

func (l *load) record(res result, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["sent"]++
	l.counts[string(res.kind)]++
	if res.reason != "" {
		l.counts["reason."+res.reason]++
	}
	if res.kind == kindDone {
		l.latencies = append(l.latencies, latency)
		l.lastDone = time.Now()
		return
	}
	if _, ok := l.examples[res.kind]; !ok {
		l.examples[res.kind] = fmt.Sprintf("%d %.300s %v", res.status, strings.TrimSpace(res.body), res.err)
	}
}

func (l *load) add(name string, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name] += n
}

// loaded waits for the end of a load and makes its counts values that expect
// compares, and prints them: loaded NAME [MARK]. With a mark, NAME.last_done_s
// is how long after it the last answer came.
func (w *world) loaded(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "loaded NAME"); err != nil {
		return err
	}
	l := w.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load %s was started", args[0])
	}
	select {
	case <-l.ended:
	case <-time.After(bound + maxLoadTime):
		return fmt.Errorf("load %s did not end", args[0])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	values := maps.Clone(l.counts)
	slices.Sort(l.latencies)
	values["p50_ms"], values["p99_ms"] = quantile(l.latencies, 0.50), quantile(l.latencies, 0.99)
	if len(args) > 1 {
		values["last_done_s"] = l.lastDone.Sub(w.marks[args[1]]).Seconds()
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		w.values[args[0]+"."+name] = values[name]
		fmt.Fprintf(ts.Stdout(), "%s.%s %.6g\n", args[0], name, values[name])
	}
	for _, k := range slices.Sorted(maps.Keys(l.examples)) {
		fmt.Fprintf(ts.Stdout(), "first %s: %s\n", k, l.examples[k])
	}
	return nil
}

// mark remembers the present instant: mark NAME
func (w *world) mark(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "mark NAME"); err != nil {
		return err
	}
	w.marks[args[0]] = time.Now()
	return nil
}

// quantile returns the q quantile of sorted latencies in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// expect compares a value: expect NAME ==|!=|<|<=|>|>= NUMBER|NAME. A count that
// never happened is 0.
func (w *world) expect(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 3, "expect NAME OPERATOR NUMBER|NAME"); err != nil {
		return err
	}
	left := w.values[args[0]]
	right, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		var ok bool
		if right, ok = w.values[args[2]]; !ok {
			return fmt.Errorf("%q is neither a number nor a value", args[2])
		}
	}
	holds, ok := map[string]bool{
		"==": left == right, "!=": left != right, "<": left < right,
		"<=": left <= right, ">": left > right, ">=": left >= right,
	}[args[1]]
	if !ok {
		return fmt.Errorf("unknown operator %q", args[1])
	}
	if !holds {
		return fmt.Errorf("%s is %.6g, want %s %.6g", args[0], left, args[1], right)
	}
	return nil
}
