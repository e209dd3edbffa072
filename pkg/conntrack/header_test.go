package conntrack

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/capacity"
)

func TestHeaderLimitFollowsTheConfiguration(t *testing.T) {
	var limit atomic.Int64
	limit.Store(16 << 10)
	_, address := serveBounded(t, Config{MaxHeaderBytes: func() int { return int(limit.Load()) }}, http.HandlerFunc(respondOK))
	kept := dial(t, address)
	header := func(n int) string { return "X-Long: " + strings.Repeat("x", n) + "\r\n" }
	for _, test := range []struct {
		name         string
		limit, bytes int
		want         int
	}{
		{"within the limit", 16 << 10, 15 << 10, http.StatusOK},
		{"within a raised limit", 64 << 10, 60 << 10, http.StatusOK},
		{"within the limit again", 16 << 10, 15 << 10, http.StatusOK},
		{"over the limit", 16 << 10, 40 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		limit.Store(int64(test.limit))
		if got, err := get(kept, header(test.bytes)); got != test.want {
			t.Errorf("%s: status %d (%v), want %d", test.name, got, err, test.want)
		}
	}
}

// TestHeaderMemoryIsBounded checks that headers which do not end are given up in the order of their age, and that an
// ordinary request is answered beside them.
func TestHeaderMemoryIsBounded(t *testing.T) {
	const capacityBytes, headers = 256 << 10, 40
	budget := capacity.NewBudget(capacityBytes)
	tracker, address := serveBounded(t, Config{Headers: budget}, http.HandlerFunc(respondOK))
	var conns []net.Conn
	for range headers {
		c := dial(t, address)
		conns = append(conns, c)
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s", strings.Repeat("k: v\r\n", 500)) // may be closed meanwhile
		time.Sleep(time.Millisecond)
	}
	eventually(t, "the memory is released", func() bool { return budget.Used() <= capacityBytes })
	if c := dial(t, address); isOpen(c) {
		if status, err := get(c, ""); status != http.StatusOK {
			t.Errorf("an ordinary request beside them: status %d, %v", status, err)
		}
	}
	if isOpen(conns[0]) || !isOpen(conns[headers-1]) {
		t.Error("the oldest connection is open, or the newest is closed")
	}
	for _, c := range conns {
		c.Close()
	}
	eventually(t, "all memory is released", func() bool { return budget.Used() == 0 })
	if tracker.counters.evicted.Count() == 0 {
		t.Error("no connection was evicted")
	}
}
