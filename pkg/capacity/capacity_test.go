package capacity

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSmallRequestsFindRoom guards against a budget that large requests use up.
func TestSmallRequestsFindRoom(t *testing.T) {
	const capacity, large, small = 8 << 20, 64 << 10, 2 << 10
	b := NewBudget(capacity)
	n := 0
	for b.TakePart(large) {
		n++
	}
	if b.Used() <= capacity/calmDivisor || b.Used() > capacity {
		t.Errorf("%d large requests take %d of %d", n, b.Used(), capacity)
	}
	for i := range 100 {
		if !b.TakePart(small) {
			t.Fatalf("small request %d is refused beside %d large ones", i, n)
		}
	}
}

// TestLargeRequestFitsInCalm guards against a limit that a single request exceeds.
func TestLargeRequestFitsInCalm(t *testing.T) {
	if b := NewBudget(1 << 20); !b.TakePart(3 << 20) {
		t.Error("a single request is refused")
	}
}

// TestBudgetIsKept checks that what is left never becomes negative without an overdraft, and that all of it comes back.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		b := NewBudget(capacity)
		var taken []int64
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				if n := rapid.Int64Range(0, capacity).Draw(t, "n"); b.Take(n) {
					taken = append(taken, n)
				}
			},
			"take part": func(t *rapid.T) {
				n := rapid.Int64Range(0, capacity/2).Draw(t, "n")
				if b.TakePart(n) {
					taken = append(taken, n)
				}
			},
			"release": func(t *rapid.T) {
				if len(taken) > 0 {
					b.Release(taken[0])
					taken = taken[1:]
				}
			},
			"": func(t *rapid.T) {
				var sum int64
				for _, n := range taken {
					sum += n
				}
				if b.Used() != sum || sum > capacity {
					t.Fatalf("used %d, taken %d of %d", b.Used(), sum, capacity)
				}
			},
		})
	})
}

// TestPlanFitsTheVM checks that all that clients may occupy at once leaves room for the process itself.
func TestPlanFitsTheVM(t *testing.T) {
	// A process without callers in a fleet of 90 VMs and 400 targets has 28.5 MB resident (docs/CAPACITY.md).
	const process = 30 << 20
	for _, vm := range []struct{ memoryMB, descriptors int }{{96, 4100}, {184, 4100}, {256, 4096}, {284, 4100}, {536, 8192}} {
		t.Run(fmt.Sprint(vm), func(t *testing.T) {
			p := NewPlan(vm.memoryMB, vm.descriptors)
			otherConns := p.LocateConns + p.PeerConns + 3*p.OtherConns
			memory := int64(p.CallerConns)*connBytes + int64(p.Tunnels)*tunnelBytes + p.Headers.capacity + p.Requests.capacity + p.Responses.capacity
			if limit := int64(vm.memoryMB) << 20; memory+process > limit {
				t.Errorf("clients may occupy %d MiB of %d", memory>>20, vm.memoryMB)
			}
			sockets := int(p.Sockets.capacity) + otherConns + reservedDescriptors
			if sockets > vm.descriptors*9/10 {
				t.Errorf("clients may occupy %d of %d descriptors; the connections to peers and the store have too few", sockets, vm.descriptors)
			}
			if p.CallerConns*SocketsPerConn > int(p.Sockets.capacity) {
				t.Errorf("%d connections, %d sockets", p.CallerConns, p.Sockets.capacity)
			}
		})
	}
}

func TestLimitBodies(t *testing.T) {
	const limit, memory = 100 << 10, 1 << 20
	p := &Plan{Requests: NewBudget(memory)}
	var readErr error
	handler := p.LimitBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, readErr = io.ReadAll(r.Body)
	}), limit)
	for _, test := range []struct {
		name         string
		body, others int
		want         error
	}{
		{"fits", limit, 0, nil},
		{"too long", limit + 1, 0, new(http.MaxBytesError)},
		{"no memory", limit, memory - 500<<10, errNoMemory},
		{"a short one beside others", 1 << 10, memory - 100<<10, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p.Requests.Overdraw(int64(test.others))
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", test.body))))
			p.Requests.Release(int64(test.others))
			var tooLong *http.MaxBytesError
			if ok := errors.Is(readErr, test.want) || errors.As(test.want, &tooLong) && errors.As(readErr, &tooLong); !ok {
				t.Errorf("%v, want %v", readErr, test.want)
			}
			if used := p.Requests.Used(); used != 0 {
				t.Errorf("%d bytes are not released", used)
			}
		})
	}
}
