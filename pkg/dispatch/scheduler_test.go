package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/outcome"
)

var done = Result{Outcome: outcome.Done, Status: 200, Latency: 10 * time.Millisecond}

// fill acquires grants until no permit is free and returns them.
func fill(t *testing.T, s *Scheduler, f *fakeFleet) []*Grant {
	t.Helper()
	var grants []*Grant
	for s.FreePermits() > 0 {
		g, refusal := s.Acquire(t.Context(), f.request(""))
		if refusal != nil || g.Target == nil {
			t.Fatalf("grant %d: %+v, %v", len(grants), g, refusal)
		}
		grants = append(grants, g)
	}
	return grants
}

func TestAcquireQueuesUntilARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		s := NewScheduler(f.schedulerConfig())
		grants := fill(t, s, f)
		if len(grants) != 2 { // slow start: one on each cold target
			t.Fatalf("%d grants, want 2", len(grants))
		}
		go func() {
			time.Sleep(time.Second)
			grants[0].Release(done)
			grants[0].Release(done) // does nothing
		}()
		started := time.Now()
		g, refusal := s.Acquire(t.Context(), f.request("a"))
		if refusal != nil || g.Target == nil || time.Since(started) != time.Second {
			t.Fatalf("after %v: grant %+v, refusal %v, want a target after 1 s", time.Since(started), g, refusal)
		}
		// The good response raised the limit of its target from one to two; the second
		// Release had no effect.
		if free := s.FreePermits(); free != 1 {
			t.Errorf("%d free permits, want 1", free)
		}
	})
}

func TestAcquireRefusesAfterMaxQueueWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		s := NewScheduler(f.schedulerConfig())
		fill(t, s, f)
		started := time.Now()
		_, refusal := s.Acquire(t.Context(), f.request("a"))
		if refusal == nil || refusal.Reason != outcome.ReasonQueueTimeout || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v", refusal)
		}
		if waited := time.Since(started); waited != 2*time.Second {
			t.Errorf("waited %v, want 2s", waited)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, refusal = s.Acquire(ctx, f.request("b")); refusal == nil || time.Since(started) > 2*time.Second+time.Millisecond {
			t.Errorf("refusal %+v after %v, want one when the context ends", refusal, time.Since(started))
		}
	})
}

func TestAcquireHandsOverWhenBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.view.Peers = append(f.view.Peers, peerVM(1, "east", 3), peerVM(2, "west", 9))
		s := NewScheduler(f.schedulerConfig())
		fill(t, s, f)
		var visited []string
		for range 2 {
			g, refusal := s.Acquire(t.Context(), f.request("a"))
			if refusal != nil || g.Peer == nil {
				t.Fatalf("grant %+v, refusal %v, want a peer", g, refusal)
			}
			visited = append(visited, g.Peer.ID)
			g.Release(Result{Outcome: outcome.NotRun, Status: 503})
		}
		if visited[0] != "vm-1" || visited[1] != "vm-2" {
			t.Errorf("handed over to %v, want the nearer VM first and each once", visited)
		}
		_, refusal := s.Acquire(t.Context(), f.request("a"))
		if refusal == nil || refusal.Reason != outcome.ReasonQueueTimeout {
			t.Errorf("third attempt: refusal %+v, want a queue timeout on this VM", refusal)
		}
	})
}

// TestDrainedVMGetsNoRequests checks that no request is handed over to a drained VM.
func TestDrainedVMGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.change(map[string]*config.Drain{"d": {Name: "d", Kind: config.DrainVM, Subject: "vm-1"}},
			peerVM(1, "east", 9), peerVM(2, "east", 9))
		s := NewScheduler(f.schedulerConfig())
		fill(t, s, f)
		for range 5 {
			g, refusal := s.Acquire(t.Context(), f.request(""))
			if refusal != nil || g.Peer == nil || g.Peer.ID != "vm-2" {
				t.Fatalf("grant %+v, refusal %v, want peer vm-2", g, refusal)
			}
		}
	})
}

// TestHandedOverRequestIsNotHandedOverAgain checks that a request from a peer is never
// handed over again, that it waits for no longer than MaxHandedOverWait, and that it does
// not wait at all on a VM without usable targets.
func TestHandedOverRequestIsNotHandedOverAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.view.Peers = append(f.view.Peers, peerVM(1, "east", 3))
		s := NewScheduler(f.schedulerConfig())
		fill(t, s, f)
		r := f.request("a")
		r.HandedOver = true
		started := time.Now()
		_, refusal := s.Acquire(t.Context(), r)
		if refusal == nil || refusal.Outcome != outcome.NotRun || time.Since(started) != defaultMaxHandedOverWait {
			t.Errorf("refusal %+v after %v", refusal, time.Since(started))
		}
		f.change(map[string]*config.Drain{"d": {Name: "d", Kind: config.DrainRegion, Subject: "east"}}, f.view.Peers...)
		started = time.Now()
		_, refusal = s.Acquire(t.Context(), r)
		if refusal == nil || refusal.Reason != outcome.ReasonNoCapacity || time.Since(started) != 0 {
			t.Errorf("in a drained region: refusal %+v after %v", refusal, time.Since(started))
		}
	})
}

func TestExpiredSlotGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		for i := range f.holding.Slots {
			f.holding.Slots[i].Until = bubbleClock{}.Now().Add(time.Second)
		}
		s := NewScheduler(f.schedulerConfig())
		if s.FreePermits() != 2 {
			t.Fatalf("%d free permits", s.FreePermits())
		}
		time.Sleep(time.Second)
		g, refusal := s.Acquire(t.Context(), f.request("a"))
		if refusal == nil || refusal.Outcome != outcome.NotRun {
			t.Errorf("granted %+v under an expired lease", g)
		}
	})
}

// TestRetiredSlotGrantsNothing checks that no permit of a retired slot is granted, even
// while the holding still lists the slot, that Retire reports the slot as idle only after
// its requests have ended, and that the slot is usable when it is taken again.
func TestRetiredSlotGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		s := NewScheduler(f.schedulerConfig())
		g, refusal := s.Acquire(t.Context(), f.request("a"))
		if refusal != nil {
			t.Fatal(refusal)
		}
		idle := map[bool]int{}
		for _, slot := range f.holding.Slots {
			idle[s.Retire(slot.Index)]++
		}
		if idle[true] != 1 || s.FreePermits() != 0 {
			t.Errorf("%d of 2 slots idle while one request runs, want 1; %d free permits, want 0", idle[true], s.FreePermits())
		}
		g.Release(done)
		for _, slot := range f.holding.Slots {
			if !s.Retire(slot.Index) {
				t.Errorf("slot %d is not idle", slot.Index)
			}
		}
		time.Sleep(time.Second)
		for i := range f.holding.Slots {
			f.holding.Slots[i].Since, f.holding.Slots[i].Settled, f.holding.Slots[i].Idle = bubbleClock{}.Now(), false, true
		}
		if n := s.FreePermits(); n == 0 {
			t.Error("idle slots that were taken again are not usable immediately")
		}
	})
}

// TestTakenOverSlotIsHeldDown checks that the permits of a slot that was taken over stay
// unused while requests of the former holder may still run.
func TestTakenOverSlotIsHeldDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		for i := range f.holding.Slots {
			f.holding.Slots[i].Settled = false
			f.holding.Slots[i].Since = bubbleClock{}.Now()
		}
		s := NewScheduler(f.schedulerConfig())
		time.Sleep(10*time.Second - 1)
		if n := s.FreePermits(); n != 0 {
			t.Errorf("%d free permits within the route's timeout", n)
		}
		time.Sleep(time.Nanosecond)
		if n := s.FreePermits(); n != 2 {
			t.Errorf("%d free permits after the route's timeout", n)
		}
	})
}

func TestDrainStopsNewRequestsAndMovesQueuedOnes(t *testing.T) {
	for _, d := range []config.Drain{
		{Name: "d", Kind: config.DrainRegion, Subject: "east"},
		{Name: "d", Kind: config.DrainFailureDomain, Subject: "east-a"},
		{Name: "d", Kind: config.DrainTarget, Subject: "east-1"},
	} {
		t.Run(string(d.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet()
				c := f.schedulerConfig()
				c.PollInterval = -1
				s := NewScheduler(c)
				s.Start(ctx)
				running := fill(t, s, f)
				type result struct {
					g       *Grant
					refusal *outcome.Refusal
					after   time.Duration
				}
				results := make(chan result, 1)
				go func() {
					started := time.Now()
					g, refusal := s.Acquire(ctx, f.request("queued"))
					results <- result{g, refusal, time.Since(started)}
				}()
				synctest.Wait()
				f.change(map[string]*config.Drain{"d": &d}, peerVM(1, "west", 9))
				time.Sleep(100 * time.Millisecond)
				for _, g := range running {
					g.Release(done)
				}
				r := <-results
				if r.refusal != nil {
					t.Fatalf("queued request refused: %v", r.refusal)
				}
				if d.Kind == config.DrainRegion && (r.g.Peer == nil || r.after > 2*time.Second) {
					t.Errorf("queued request: grant %+v after %v, want a peer in another region within 2s", r.g, r.after)
				}
				for range 50 {
					g, refusal := s.Acquire(ctx, f.request(""))
					if refusal != nil {
						t.Fatalf("new request refused: %v", refusal)
					}
					if g.Target != nil && drained(f.config, *g.Target) {
						t.Fatalf("granted the drained target %s", g.Target.ID)
					}
					g.Release(done)
				}
			})
		})
	}
}
