package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/internal/freeport"
	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/standin/target"
)

// fleetUnderTest is a running dev fleet.
type fleetUnderTest struct {
	callers []string
	key     string
}

// output hands over what the fleet prints once the example commands are in it.
type output struct {
	mu    sync.Mutex
	text  strings.Builder
	ready chan string
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text.Write(p)
	if text := o.text.String(); strings.Contains(text, "Stop with") {
		o.ready <- text
	}
	return len(p), nil
}

func startFleet(tb testing.TB) *fleetUnderTest {
	tb.Helper()
	f := &fleetUnderTest{}
	for range 3 {
		f.callers = append(f.callers, freeport.Address(tb))
	}
	command := &daemon.DevCommand{Operators: freeport.Address(tb), Callers: f.callers, Targets: 2, LogLevel: "error"}
	ctx, cancel := context.WithCancel(context.Background())
	out := &output{ready: make(chan string, 1)}
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, command, out, io.Discard) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	select {
	case text := <-out.ready:
		_, rest, _ := strings.Cut(text, "Bearer ")
		f.key, _, _ = strings.Cut(rest, "'")
	case err := <-ended:
		tb.Fatalf("the fleet ended: %v", err)
	case <-time.After(time.Minute):
		tb.Fatal("the fleet did not come up")
	}
	limits := operatorpb.NewLimitsProtobufClient("http://"+command.Operators, http.DefaultClient)
	if _, err := limits.Set(ctx, &operatorpb.SetLimitRequest{Account: "example", Rate: new(1e6), Burst: new(1e5)}); err != nil {
		tb.Fatal(err)
	}
	return f
}

// get sends one look-up and returns its status.
func (f *fleetUnderTest) get(client *http.Client, address string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/certificates/1", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// waitServing returns once every VM has served a look-up.
func (f *fleetUnderTest) waitServing(tb testing.TB) {
	tb.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, address := range f.callers {
		for {
			status, err := f.get(http.DefaultClient, address)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				tb.Fatalf("%s does not serve: status %d, %v", address, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func TestEveryVMServes(t *testing.T) {
	f := startFleet(t)
	f.waitServing(t)
}

// measure runs get b.N times on 8 connections and reports quantiles.
func measure(b *testing.B, get func(client *http.Client) (int, error)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	refused := 0
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		own := hdrhistogram.New(1, 60_000_000, 3)
		bad := 0
		for pb.Next() {
			started := time.Now()
			status, err := get(client)
			if err != nil || status != http.StatusOK {
				bad++
				continue
			}
			_ = own.RecordValue(time.Since(started).Microseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		all.Merge(own)
		refused += bad
	})
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(refused), "refused")
}

// BenchmarkPath compares a look-up through a VM with a direct one to a target
// that does no work, in one run and one process.
func BenchmarkPath(b *testing.B) {
	direct := target.New(target.Config{Name: "direct", Slots: 1000})
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: direct.Handler()}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	saved := serviceTime
	serviceTime = 0
	defer func() { serviceTime = saved }()
	f := startFleet(b)
	f.waitServing(b)
	b.Run("direct", func(b *testing.B) {
		measure(b, func(c *http.Client) (int, error) { return f.get(c, l.Addr().String()) })
	})
	b.Run("through_vm", func(b *testing.B) {
		measure(b, func(c *http.Client) (int, error) { return f.get(c, f.callers[0]) })
	})
	if testing.Verbose() {
		fmt.Println("the target, the VMs and the callers share the processors of one machine")
	}
}
