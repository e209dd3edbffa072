package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
)

// TestPollAppliesReports polls a real HTTP target and waits for the expected status after
// each change of its reports. The timeout is long; only a failure reaches it.
func TestPollAppliesReports(t *testing.T) {
	var load, healthz atomic.Value
	load.Store(`{"running":1,"slots":2,"state":"ok"}`)
	healthz.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			w.WriteHeader(healthz.Load().(int))
			return
		}
		fmt.Fprint(w, load.Load())
	}))
	defer server.Close()
	f := newFleet()
	c := f.schedulerConfig()
	c.PollInterval = 10 * time.Millisecond
	c.Pools[0].Targets[0].Address = strings.TrimPrefix(server.URL, "http://")
	s := NewScheduler(c)
	s.FreePermits() // applies the lease slots, without which the target is not polled
	s.Start(t.Context())
	for _, step := range []struct {
		load   string
		health int
		want   func(TargetStatus) bool
	}{
		{`{"state":"draining"}`, 200, func(s TargetStatus) bool { return s.Draining && s.Limit == 0 }},
		{`{"slots":2}`, 200, func(s TargetStatus) bool { return !s.Draining && s.Limit == 1 }},
		{`{"slots":2}`, 503, func(s TargetStatus) bool { return s.Down && s.Limit == 0 }},
		{`{"slots":2}`, 200, func(s TargetStatus) bool { return !s.Down && s.Limit == 1 }},
	} {
		load.Store(step.load)
		healthz.Store(step.health)
		deadline := time.Now().Add(20 * time.Second)
		for !step.want(s.Status().Pools[0].Targets[0]) {
			if time.Now().After(deadline) {
				t.Fatalf("load %s, health status %d: target status is %+v", step.load, step.health, s.Status().Pools[0].Targets[0])
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestLinkBudget checks that a VM without usable targets has no more requests in flight in
// another region than its share of the link.
func TestLinkBudget(t *testing.T) {
	f := newFleet()
	c := f.schedulerConfig()
	c.MaxLinkRequests = 6
	s := NewScheduler(c)
	f.change(map[string]*config.Drain{"d": {Name: "d", Kind: config.DrainRegion, Subject: "east"}},
		peerVM(1, "east", 0), peerVM(2, "west", 100), peerVM(3, "west", 100))
	p := s.pools["registru"].pool
	in := s.inputs()
	running := 0
	for range 10 {
		a, w, refusal := p.acquire(in, &request{Request: f.request(""), deadline: in.now.Add(time.Minute)})
		if refusal != nil {
			t.Fatal(refusal)
		}
		if a != nil || w.assignment != nil {
			running++
		}
	}
	if running != 3 {
		t.Errorf("%d requests in flight in the other region, want half of %d", running, c.MaxLinkRequests)
	}
}
