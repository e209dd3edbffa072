package tunnel

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"crocusramp.dev/crocusramp/pkg/forward"
)

// BenchmarkExchange measures a request without a body and its response of responseBytes on a kept
// connection, which is direct or a tunnel. The target and the peer run in the same process and count.
func BenchmarkExchange(b *testing.B) {
	address := httpTarget(b)
	f := newFixture(b, address, nil)
	dials := map[string]func(ctx context.Context, network, address string) (net.Conn, error){
		"direct": (&net.Dialer{}).DialContext,
		"tunnel": func(ctx context.Context, _, _ string) (net.Conn, error) {
			return f.dialer.Dial(ctx, f.address, testTarget)
		},
	}
	for _, path := range []string{"direct", "tunnel"} {
		b.Run(path, func(b *testing.B) {
			client := forward.NewClient(forward.Config{Dial: dials[path]})
			defer client.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if err := exchange(b.Context(), client, address, fmt.Sprint("r", i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkOpen measures the set-up and the end of a connection, which is direct or a tunnel.
func BenchmarkOpen(b *testing.B) {
	address := listen(b, discard)
	f := newFixture(b, address, func(c *ServerConfig) { c.MaxConns = 1 << 20 })
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	})
	b.Run("tunnel", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.dial(b).Close()
		}
	})
}

// BenchmarkMemory measures the heap and the stacks that an idle tunnel takes at both VMs together, and at
// the target of this test.
func BenchmarkMemory(b *testing.B) {
	const conns = 500
	f := newFixture(b, listen(b, discard), func(c *ServerConfig) { c.MaxConns = conns })
	for b.Loop() {
		before := memoryInUse()
		open := make([]net.Conn, conns)
		for i := range open {
			open[i] = f.dial(b)
		}
		b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
		for _, c := range open {
			c.Close()
		}
		waitFor(b, "release", eventually, func() bool { return f.Open() == 0 })
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
