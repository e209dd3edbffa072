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
	maxLoadRate = 2000 // requests per second
	maxLoadTime = 30 * time.Second
	// maxInFlight bounds the requests of one load that are in flight.
	maxInFlight = 2000
	// callTimeout bounds one attempt to send a request.
	callTimeout = 20 * time.Second
)

// load sends requests at a constant rate, independent of their results.
type load struct {
	request
	urls     []string
	rate     float64
	duration time.Duration
	// connections bounds the connections to each VM.
	connections int
	// unique gives each request an idempotency key of its own.
	unique bool
	// idemPrefix is the prefix of the idempotency keys of unique requests.
	idemPrefix string
	// attempts bounds how often a request is sent until its result is done. Each
	// attempt goes to the next URL under the same idempotency key.
	attempts int
	// retryWait is the delay before a retry.
	retryWait time.Duration

	cancel context.CancelFunc
	ended  chan struct{}

	mu        sync.Mutex
	counts    map[string]float64
	latencies []time.Duration
	lastDone  time.Time
	examples  map[resultKind]string
}

// load starts a load in the background: load NAME [FLAG...] URL...
func (sc *scenario) load(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 2, "load NAME [FLAG...] URL..."); err != nil {
		return err
	}
	l := &load{ended: make(chan struct{}), counts: map[string]float64{}, examples: map[resultKind]string{}}
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(ts.Stderr())
	l.flags(f)
	options := sc.callerFlags(f)
	f.Float64Var(&l.rate, "rate", 50, "requests per second")
	f.DurationVar(&l.duration, "for", 5*time.Second, "duration")
	f.IntVar(&l.connections, "connections", 64, "connections to each VM")
	f.BoolVar(&l.unique, "unique", false, "send each request with its own idempotency key")
	f.StringVar(&l.idemPrefix, "idem-prefix", "", "prefix of the keys of -unique")
	f.IntVar(&l.attempts, "attempts", 1, "maximum number of attempts for each request")
	f.DurationVar(&l.retryWait, "retry-wait", 0, "delay before a retry")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	var err error
	if l.urls, err = options.resolve(sc, &l.request, f.Args()); err != nil {
		return err
	}
	if l.rate <= 0 || l.rate > maxLoadRate || l.duration > maxLoadTime {
		return fmt.Errorf("rate must be above 0 and at most %d per second, and duration at most %s", maxLoadRate, maxLoadTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	sc.loads[args[0]] = l
	go l.run(ctx)
	return nil
}

func (sc *scenario) stopLoads() {
	for _, l := range sc.loads {
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
	inFlight := make(chan struct{}, maxInFlight)
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
		case inFlight <- struct{}{}:
		default:
			l.addCount("skipped", 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			l.sendOne(ctx, client, i)
		})
	}
}

// sendOne sends one request until its result is done or its attempts are used up.
func (l *load) sendOne(ctx context.Context, client *http.Client, i int) {
	r := l.request
	if l.unique {
		r.idempotencyKey = l.idemPrefix + rand.Text()
	}
	var res result
	start := time.Now()
	for attempt := range l.attempts {
		if attempt > 0 {
			l.addCount("resent", 1)
			time.Sleep(l.retryWait)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		res = r.send(attemptCtx, client, l.urls[(i+attempt)%len(l.urls)])
		cancel()
		l.addCount("attempt."+string(res.kind), 1)
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

func (l *load) addCount(name string, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name] += n
}

// waitLoad waits for the end of a load, sets its counts as values for expect, and
// prints them: loaded NAME [MARK]. With a mark, NAME.last_done_s is the time from
// the mark to the last result of kind done.
func (sc *scenario) waitLoad(ts *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "loaded NAME"); err != nil {
		return err
	}
	l := sc.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load %s was started", args[0])
	}
	select {
	case <-l.ended:
	case <-time.After(waitTimeout + maxLoadTime):
		return fmt.Errorf("load %s did not end in time", args[0])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	values := maps.Clone(l.counts)
	slices.Sort(l.latencies)
	values["p50_ms"], values["p99_ms"] = quantile(l.latencies, 0.50), quantile(l.latencies, 0.99)
	if len(args) > 1 {
		values["last_done_s"] = l.lastDone.Sub(sc.marks[args[1]]).Seconds()
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		sc.values[args[0]+"."+name] = values[name]
		fmt.Fprintf(ts.Stdout(), "%s.%s %.6g\n", args[0], name, values[name])
	}
	for _, k := range slices.Sorted(maps.Keys(l.examples)) {
		fmt.Fprintf(ts.Stdout(), "first %s: %s\n", k, l.examples[k])
	}
	return nil
}

// mark records the current time under a name: mark NAME
func (sc *scenario) mark(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 1, "mark NAME"); err != nil {
		return err
	}
	sc.marks[args[0]] = time.Now()
	return nil
}

// quantile returns the q quantile of sorted latencies in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// expect compares a value: expect NAME ==|!=|<|<=|>|>= NUMBER|NAME. A NAME on the
// left that was never set counts as 0.
func (sc *scenario) expect(_ *testscript.TestScript, args []string) error {
	if err := usage(args, 3, "expect NAME OPERATOR NUMBER|NAME"); err != nil {
		return err
	}
	left := sc.values[args[0]]
	right, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		var ok bool
		if right, ok = sc.values[args[2]]; !ok {
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
