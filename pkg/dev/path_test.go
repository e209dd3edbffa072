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

// testFleet is a running dev fleet.
type testFleet struct {
	callers []string
	key     string
}

// exampleOutput collects the fleet's standard output and sends it to ready once
// it holds all example commands.
type exampleOutput struct {
	mu    sync.Mutex
	text  strings.Builder
	ready chan string
}

func (o *exampleOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text.Write(p)
	if text := o.text.String(); strings.Contains(text, "Stop with") {
		o.ready <- text
	}
	return len(p), nil
}

func startFleet(tb testing.TB) *testFleet {
	tb.Helper()
	f := &testFleet{}
	for range 3 {
		f.callers = append(f.callers, freeport.Address(tb))
	}
	command := &daemon.DevCommand{Operators: freeport.Address(tb), Callers: f.callers, Targets: 2, LogLevel: "error"}
	ctx, cancel := context.WithCancel(context.Background())
	out := &exampleOutput{ready: make(chan string, 1)}
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
		tb.Fatalf("the fleet stopped before it was ready: %v", err)
	case <-time.After(time.Minute):
		tb.Fatal("the fleet did not print its example commands within a minute")
	}
	limits := operatorpb.NewLimitsProtobufClient("http://"+command.Operators, http.DefaultClient)
	if _, err := limits.Set(ctx, &operatorpb.SetLimitRequest{Account: "example", Rate: new(1e6), Burst: new(1e5)}); err != nil {
		tb.Fatal(err)
	}
	return f
}

// lookUp sends one look-up and returns the HTTP status of its response.
func (f *testFleet) lookUp(client *http.Client, address string) (int, error) {
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
func (f *testFleet) waitServing(tb testing.TB) {
	tb.Helper()
	deadline := time.Now().Add(time.Minute)
	for _, address := range f.callers {
		for {
			status, err := f.lookUp(http.DefaultClient, address)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				tb.Fatalf("%s did not serve a look-up within a minute: status %d, %v", address, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func TestEveryVMServes(t *testing.T) {
	f := startFleet(t)
	f.waitServing(t)
}

// measure runs lookUp b.N times on GOMAXPROCS goroutines that share one client,
// and reports latency quantiles and the number of look-ups that failed.
func measure(b *testing.B, lookUp func(client *http.Client) (int, error)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	allSamples := hdrhistogram.New(1, 60_000_000, 3)
	allFailures := 0
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		samples := hdrhistogram.New(1, 60_000_000, 3)
		failures := 0
		for pb.Next() {
			started := time.Now()
			status, err := lookUp(client)
			if err != nil || status != http.StatusOK {
				failures++
				continue
			}
			_ = samples.RecordValue(time.Since(started).Microseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		allSamples.Merge(samples)
		allFailures += failures
	})
	b.ReportMetric(float64(allSamples.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(allSamples.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(allFailures), "refused")
}

// BenchmarkPath compares a look-up through a VM with one sent directly to a
// target, both with a service time of 0, in one run and one process.
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
		measure(b, func(c *http.Client) (int, error) { return f.lookUp(c, l.Addr().String()) })
	})
	b.Run("through_vm", func(b *testing.B) {
		measure(b, func(c *http.Client) (int, error) { return f.lookUp(c, f.callers[0]) })
	})
	if testing.Verbose() {
		fmt.Println("the target, the VMs and the callers share the CPU cores of one machine")
	}
}
