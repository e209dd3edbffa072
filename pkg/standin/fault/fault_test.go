package fault

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestFaultsEndpoint(t *testing.T) {
	i := NewInjector()
	h := i.Wrap(http.NotFoundHandler())
	cases := []struct {
		method, body string
		status       int
		want         Faults
	}{
		{http.MethodPost, `{"delay":"5ms","lose_answers":2}`, http.StatusOK, Faults{Delay: 5e6, LoseResponses: 2}},
		{http.MethodPost, `{"delay":5}`, http.StatusBadRequest, Faults{Delay: 5e6, LoseResponses: 2}},
		{http.MethodPost, `{"lose_anwsers":2}`, http.StatusBadRequest, Faults{Delay: 5e6, LoseResponses: 2}},
		{http.MethodPut, `{}`, http.StatusMethodNotAllowed, Faults{Delay: 5e6, LoseResponses: 2}},
		{http.MethodGet, ``, http.StatusOK, Faults{Delay: 5e6, LoseResponses: 2}},
		{http.MethodDelete, ``, http.StatusOK, Faults{}},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, Path, strings.NewReader(c.body)))
		if got := i.Faults(); w.Code != c.status || got != c.want {
			t.Errorf("%s %s: got status %d, faults %+v", c.method, c.body, w.Code, got)
		}
	}
}

// TestSeedReproducesFaults checks that the same seed injects the same faults and
// another seed injects others.
func TestSeedReproducesFaults(t *testing.T) {
	draw := func(seed uint64) (lost []bool) {
		i := NewInjector()
		i.Set(Faults{LoseResponseRate: 0.5, Seed: seed})
		for range 64 {
			lost = append(lost, i.LoseResponse())
		}
		return lost
	}
	a, b, other := draw(1), draw(1), draw(2)
	same, differs := true, false
	for i := range a {
		same = same && a[i] == b[i]
		differs = differs || a[i] != other[i]
	}
	if !same || !differs {
		t.Errorf("same seed, same faults: %v; another seed, other faults: %v; want true and true", same, differs)
	}
}

func TestTokenBucket(t *testing.T) {
	now := time.Unix(0, 0)
	bucket := newTokenBucket(10, now)
	steps := []struct {
		after time.Duration
		n     int
		want  bool
	}{{0, 10, true}, {0, 1, false}, {100 * time.Millisecond, 1, true}, {0, 1, false}, {time.Hour, 11, false}, {0, 10, true}}
	for i, s := range steps {
		now = now.Add(s.after)
		if got := bucket.take(s.n, now); got != s.want {
			t.Errorf("step %d: take returned %v", i, got)
		}
	}
}
