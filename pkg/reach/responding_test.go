package reach

import (
	"context"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/forward"
)

// TestRespondingConnectionsAreNotInterrupted guards against a VM that interrupts requests on connections that
// respond, because new connections time out.
func TestRespondingConnectionsAreNotInterrupted(t *testing.T) {
	w := newWorld(t, "e1", "e2", "w1")
	if _, _, f := w.get("i-0", "/", Options{}); f != nil {
		t.Fatal(f)
	}
	direct, cancel := context.WithCancel(t.Context())
	defer context.AfterFunc(w.client.LinksLostContext(), cancel)()
	slow := make(chan *forward.Error, 1)
	go func() { _, _, f := w.get("i-1", "/slow", Options{Direct: direct}); slow <- f }()
	w.await("the slow request waits", func() bool { return w.client.waiting.Load() == 1 })
	w.mu.Lock()
	for id := range w.servers {
		w.unreachable[id] = true // new connections only
	}
	w.mu.Unlock()
	w.watch()
	w.client.requestCheck()
	for !w.client.CutOff() {
		if _, via, f := w.get("i-0", "/", Options{}); f != nil && via == "" {
			t.Fatal(f)
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	close(w.release)
	if f := <-slow; f != nil {
		t.Errorf("request on a connection that responds: %v", f)
	}
}
