package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// respondWithLimit succeeds and sets a limit.
func respondWithLimit(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(hLimit, "5")
	respondOK(rw, r)
}

// TestObjectOfLimitedTargetUsesOneOther guards against requests beyond a target's limit that are
// sent to it, refused, or spread over several other targets.
func TestObjectOfLimitedTargetUsesOneOther(t *testing.T) {
	w := newFixture(t)
	for i := range 5 {
		w.add(fmt.Sprint("i-", i), "fd-e", respondWithLimit)
	}
	object := func(r *http.Request) { r.Header.Set(hObject, "1") }
	served := func() (ids []string) {
		for id, f := range w.fakes {
			for range f.requests() {
				ids = append(ids, id)
			}
		}
		return ids
	}
	w.expect(200, "GET", "/safe/x", object)
	first := served()[0]
	// The others have not set a limit yet.
	const sent, admitted = 10, 3
	w.limits.left[first] = admitted
	for id := range w.fakes {
		if id != first {
			w.limits.left[id] = sent
		}
	}
	for range sent {
		w.expect(200, "GET", "/safe/x", object)
	}
	if got := w.fakes[first].requests(); got != 1+admitted {
		t.Errorf("the limited target got %d requests, want %d", got, 1+admitted)
	}
	counts := map[string]int{}
	for _, id := range served() {
		counts[id]++
	}
	if len(counts) != 2 {
		t.Errorf("requests per target are %v, want only the object's target and the next one", counts)
	}
}

// TestAllTargetsLimited guards against callers that have to wait, or that get too short a retry
// time, when every target is at its limit.
func TestAllTargetsLimited(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondWithLimit)
	w.expect(200, "GET", "/safe/x")
	started := time.Now()
	resp, _ := w.expect(503, "GET", "/safe/x")
	if took := time.Since(started); took > time.Second {
		t.Errorf("the refusal took %v", took)
	}
	if d, err := time.ParseDuration(resp.Header.Get(hRetryAfter)); err != nil || d < limitWait {
		t.Errorf("retry after %v, want %v or more", d, limitWait)
	}
	if f.requests() != 1 {
		t.Error("a refused request reached the target")
	}
}

// TestRetryAtSameTargetCountsAgainstLimit guards against retries that a limit does not count.
func TestRetryAtSameTargetCountsAgainstLimit(t *testing.T) {
	w := newFixture(t)
	refuses := false
	f := w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(hLimit, "5")
		if refuses {
			rw.Header().Set(hLoad, "0")
			shed(rw, r)
			return
		}
		respondOK(rw, r)
	})
	const ran = 20 // enough for the target to count as one that runs requests
	w.limits.left["i-1"] = ran
	for range 1 + ran {
		w.expect(200, "GET", "/safe/x")
	}
	refuses = true
	w.limits.left["i-1"] = 1
	w.expect(503, "GET", "/safe/x")
	if got := f.requests(); got != 2+ran {
		t.Errorf("the target got %d requests, want %d: its limit allowed one more request", got, 2+ran)
	}
	if got := w.limits.asked["i-1"]; got != 2+ran {
		t.Errorf("the limit was asked %d times, want %d: the retry counts too", got, 2+ran)
	}
}

// TestTargetLeavesDuringLimitCheck guards against requests to a target that left while another VM
// was asked about its limit.
func TestTargetLeavesDuringLimitCheck(t *testing.T) {
	w := newFixture(t)
	f := w.add("i-1", "fd-e", respondWithLimit)
	w.expect(200, "GET", "/safe/x")
	w.limits.left["i-1"] = 1
	w.limits.before = func(id string) {
		w.targets.Remove([]string{id}, false, 0, time.Now())
		w.targets.Publish(storage.Version{Number: 2})
	}
	w.expect(503, "GET", "/safe/x")
	if f.requests() != 1 {
		t.Error("a target that had left got a request")
	}
}

// TestLimitEndsWhenNoLongerSet guards against a limit that stays in force after the target's
// responses no longer set it.
func TestLimitEndsWhenNoLongerSet(t *testing.T) {
	w := newFixture(t)
	names := true
	w.add("i-1", "fd-e", func(rw http.ResponseWriter, r *http.Request) {
		if names {
			rw.Header().Set(hLimit, "5")
		}
		respondOK(rw, r)
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

// TestUrgentRequestsReserveNothing guards against urgent requests that are refused before less
// urgent ones, and against less urgent requests that starve.
func TestUrgentRequestsReserveNothing(t *testing.T) {
	c := testConfig()
	first, second := 0, 1
	c.Accounts[testAccount].Rank, c.Accounts[otherAccount].Rank = &first, &second
	c.Routes["safe"].Rank = 2
	state := NewState(c, nil)
	reserves := func(account, route string) (least, most float64) {
		least = 1
		for range 200 {
			call := &call{state: state, route: c.Routes[route], account: c.Accounts[account], pool: testPool}
			reserve := call.reserve()
			least, most = min(least, reserve), max(most, reserve)
		}
		return least, most
	}
	for i, tt := range []struct{ account, route string }{ // the most urgent first
		{testAccount, "once"}, {testAccount, "safe"}, {otherAccount, "once"}, {otherAccount, "safe"},
	} {
		least, most := reserves(tt.account, tt.route)
		if least != 0 || most > maxReserve || (most > 0) != (i > 0) {
			t.Errorf("%s on %s reserves between %v and %v", tt.account, tt.route, least, most)
		}
		if i > 0 {
			if _, before := reserves([]string{"", testAccount, testAccount, otherAccount}[i], []string{"", "once", "safe", "once"}[i]); before >= most {
				t.Errorf("%s on %s reserves no more than more urgent requests do", tt.account, tt.route)
			}
		}
	}
}
