package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// naming answers well and names a limit.
func naming(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(hLimit, "5")
	good(rw, r)
}

// TestLimitedTargetPassesItsObjectsOn guards against requests beyond a target's limit that are
// sent to it, refused, or spread over several others.
func TestLimitedTargetPassesItsObjectsOn(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.add(fmt.Sprint("i-", i), "fd-e", naming)
	}
	object := func(r *http.Request) { r.Header.Set(hObject, "1") }
	served := func() (ids []string) {
		for id, f := range w.all {
			for range f.requests() {
				ids = append(ids, id)
			}
		}
		return ids
	}
	w.expect(200, "GET", "/safe/x", object)
	first := served()[0]
	// The others name none yet.
	const sent, admitted = 10, 3
	w.limits.left[first] = admitted
	for id := range w.all {
		if id != first {
			w.limits.left[id] = sent
		}
	}
	for range sent {
		w.expect(200, "GET", "/safe/x", object)
	}
	if got := w.all[first].requests(); got != 1+admitted {
		t.Errorf("the limited target got %d requests, want %d", got, 1+admitted)
	}
	counts := map[string]int{}
	for _, id := range served() {
		counts[id]++
	}
	if len(counts) != 2 {
		t.Errorf("the object is handled by %v, want by its target and the next one", counts)
	}
}

// TestAllTargetsLimited guards against callers that wait, or are told too early a time to come
// back, where every target gets what its limit allows.
func TestAllTargetsLimited(t *testing.T) {
	w := newWorld(t)
	f := w.add("i-1", "fd-e", naming)
	w.expect(200, "GET", "/safe/x")
	started := time.Now()
	resp, _ := w.expect(503, "GET", "/safe/x")
	if took := time.Since(started); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	if d, err := time.ParseDuration(resp.Header.Get(hRetryAfter)); err != nil || d < limitWait {
		t.Errorf("to come back after %v, want %v or more", d, limitWait)
	}
	if f.requests() != 1 {
		t.Error("a refused request reached the target")
	}
}

// TestRepeatAtTheSameTargetIsWithinItsLimit guards against repeats that a limit does not count.
func TestRepeatAtTheSameTargetIsWithinItsLimit(t *testing.T) {
	w := newWorld(t)
	refuses := false
	f := w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hLimit, "5")
		if refuses {
			rw.Header().Set(hLoad, "0")
			shed(rw, r)
			return
		}
		good(rw, r)
	})
	const ran = 20 // enough to be known to run requests
	w.limits.left["i-1"] = ran
	for range 1 + ran {
		w.expect(200, "GET", "/safe/x")
	}
	refuses = true
	w.limits.left["i-1"] = 1
	w.expect(503, "GET", "/safe/x")
	if got := f.requests(); got != 2+ran {
		t.Errorf("the target got %d requests, want %d: its limit allowed one more", got, 2+ran)
	}
	if got := w.limits.asked["i-1"]; got != 2+ran {
		t.Errorf("the limit was asked %d times, want %d: for the repeat too", got, 2+ran)
	}
}

// TestTargetThatLeavesWhileItsLimitIsAsked guards against work for a target that left while
// another VM was asked whether its limit allows it.
func TestTargetThatLeavesWhileItsLimitIsAsked(t *testing.T) {
	w := newWorld(t)
	f := w.add("i-1", "fd-e", naming)
	w.expect(200, "GET", "/safe/x")
	w.limits.left["i-1"] = 1
	w.limits.before = func(id string) {
		w.targets.Remove([]string{id}, false, 0, time.Now())
		w.targets.Publish(2)
	}
	w.expect(503, "GET", "/safe/x")
	if f.requests() != 1 {
		t.Error("a target that has left got a request")
	}
}

// TestEndOfALimit guards against a limit that goes on after the target has ceased to name it.
func TestEndOfALimit(t *testing.T) {
	w := newWorld(t)
	names := true
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		if names {
			rw.Header().Set(hLimit, "5")
		}
		good(rw, r)
	})
	w.expect(200, "GET", "/safe/x")
	names = false
	w.limits.left["i-1"] = 1
	w.expect(200, "GET", "/safe/x")
	w.expect(200, "GET", "/safe/x")
	if w.limits.asked["i-1"] != 1 {
		t.Errorf("the limit was asked %d times, want 1", w.limits.asked["i-1"])
	}
}

// TestUrgentRequestsSpareNothing guards against urgent requests that are refused before others,
// and against ones that starve.
func TestUrgentRequestsSpareNothing(t *testing.T) {
	c := testConfig()
	first, second := 0, 1
	c.Accounts[testAccount].Rank, c.Accounts[otherName].Rank = &first, &second
	c.Routes["safe"].Rank = 2
	state := NewState(c, nil)
	spares := func(account, route string) (least, most float64) {
		least = 1
		for range 200 {
			call := &call{state: state, route: c.Routes[route], account: c.Accounts[account], pool: testPool}
			spare := call.spare()
			least, most = min(least, spare), max(most, spare)
		}
		return least, most
	}
	for i, tt := range []struct{ account, route string }{ // the most urgent first
		{testAccount, "once"}, {testAccount, "safe"}, {otherName, "once"}, {otherName, "safe"},
	} {
		least, most := spares(tt.account, tt.route)
		if least != 0 || most > maxSpare || (most > 0) != (i > 0) {
			t.Errorf("%s on %s leaves %v to %v", tt.account, tt.route, least, most)
		}
		if i > 0 {
			if _, before := spares([]string{"", testAccount, testAccount, otherName}[i], []string{"", "once", "safe", "once"}[i]); before >= most {
				t.Errorf("%s on %s leaves no more than what is more urgent", tt.account, tt.route)
			}
		}
	}
}
