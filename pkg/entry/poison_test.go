package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/member"
)

// addCrashableTarget adds a target that crashes on requests with "poison" in the path or
// an X-Poison header: it closes all its connections.
func (v *vm) addCrashableTarget(t testing.TB, id string, deaths *atomic.Int32) {
	var mu sync.Mutex
	var open []net.Conn
	v.addRawTarget(t, id, func(c net.Conn) {
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		r := readRequest(t, c)
		if r == nil {
			return
		}
		if !strings.Contains(r.URL.Path, "poison") && r.Header.Get("X-Poison") == "" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		deaths.Add(1)
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
}

func TestCrashingRequestIsQuarantinedOnAllVMs(t *testing.T) {
	var deaths atomic.Int32
	first, second := startVM(t, "vm-1", nil), startVM(t, "vm-2", nil)
	first.setPeers(member.Live, second)
	for _, v := range []*vm{first, second} {
		for _, id := range []string{"t1", "t2", "t3", "t4"} {
			v.addCrashableTarget(t, id, &deaths)
		}
	}
	for range 3 {
		r := first.send(t, "PUT", "/lookup/poison", "body").refusal(t)
		if r.Outcome != "unknown" || r.Reason != "quarantined" || r.RetryAfterMS == 0 {
			t.Errorf("got %+v", r)
		}
	}
	// Deaths are reported in the background.
	base := (&call{account: first.source.snapshot.Accounts["acme"], route: first.source.snapshot.Routes["lookup"],
		r: httptest.NewRequest("PUT", "/lookup/poison", strings.NewReader("body"))}).baseHash()
	for i := 0; ; i++ {
		if !second.quarantine.Empty() && second.quarantine.Assess(base, []byte("body")).Quarantined {
			break
		}
		if i == 10_000 {
			t.Fatal("the report did not reach the peer")
		}
		time.Sleep(time.Millisecond)
	}
	if r := second.send(t, "PUT", "/lookup/poison", "body").refusal(t); r.Reason != "quarantined" {
		t.Errorf("got %+v", r)
	}
	if n := deaths.Load(); n != 2 {
		t.Errorf("%d targets died", n)
	}
	for _, v := range []*vm{first, second} {
		if got := v.send(t, "PUT", "/lookup/poisoN", "body"); got.status != http.StatusOK {
			t.Errorf("another request: %+v", got)
		}
	}
}

// TestHarmlessRequestIsServed checks that a request is still served, and not quarantined,
// after a single target closed its connection while it ran the request.
func TestHarmlessRequestIsServed(t *testing.T) {
	var deaths atomic.Int32
	v := startVM(t, "vm-1", nil)
	arrived := make(chan net.Conn, 1)
	v.addRawTarget(t, "t1", func(c net.Conn) {
		if readRequest(t, c) != nil {
			arrived <- c
			io.Copy(io.Discard, c)
		}
	})
	for _, id := range []string{"t2", "t3", "t4"} {
		v.addCrashableTarget(t, id, &deaths)
	}
	replies := make(chan reply, 1)
	go func() { replies <- v.send(t, "GET", "/lookup/innocent", "") }()
	(<-arrived).Close()
	if got := <-replies; got.body != "ok" {
		t.Errorf("got %+v", got)
	}
	v.dispatcher.targets = v.dispatcher.targets[1:]
	if got := v.send(t, "GET", "/lookup/innocent", ""); got.status == http.StatusUnprocessableEntity {
		t.Errorf("got %+v", got)
	}
}

// TestHandedOverCrashingRequestIsQuarantined checks that a request that crashes targets
// is quarantined if a peer dispatches it.
func TestHandedOverCrashingRequestIsQuarantined(t *testing.T) {
	var deaths atomic.Int32
	first, second := startVM(t, "vm-1", nil), startVM(t, "vm-2", nil)
	for _, id := range []string{"t1", "t2", "t3", "t4"} {
		second.addCrashableTarget(t, id, &deaths)
	}
	first.dispatcher.peer = second.peer()
	for range 3 {
		if r := first.send(t, "GET", "/lookup/poison", "").refusal(t); r.Outcome != "unknown" || r.Reason != "quarantined" {
			t.Errorf("got %+v", r)
		}
	}
	if n := deaths.Load(); n != 2 {
		t.Errorf("%d targets died", n)
	}
}
