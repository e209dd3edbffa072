package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
)

func base(i int) BaseHash { return BaseHash{byte(i), byte(i >> 8)} }

// fleet simulates targets that die while they run requests.
type fleet struct {
	clock  *clock.Fake
	list   *List
	deaths int
}

func newFleet() *fleet {
	c := clock.NewFake(1)
	return &fleet{clock: c, list: NewList(Config{Clock: c})}
}

// dies records the death of a target with the requests that it ran. prior maps each request to the
// number of deaths that were known when it was sent.
func (f *fleet) dies(target string, prior map[int]int) {
	f.deaths++
	for i, n := range prior {
		f.list.RecordDeath(NewFingerprint(base(i), nil), Death{ID: fmt.Sprintf("%s@%d", target, f.deaths), Target: target, Prior: n})
	}
	f.clock.Advance(100 * time.Millisecond)
}

func (f *fleet) quarantined(i int) bool { return f.list.Assess(base(i), nil).Quarantined }

func TestSecondDeathQuarantines(t *testing.T) {
	f := newFleet()
	f.dies("t1", map[int]int{1: 0, 2: 0, 3: 0})
	for i := 1; i <= 3; i++ {
		if f.quarantined(i) {
			t.Errorf("request %d quarantined by one death", i)
		}
	}
	f.dies("t2", map[int]int{1: 1, 4: 0})
	if !f.quarantined(1) || f.quarantined(2) || f.quarantined(4) {
		t.Error("want only the request that both targets ran quarantined")
	}
	f.clock.Advance(defaultDuration)
	if f.quarantined(1) {
		t.Error("still quarantined after the quarantine's duration")
	}
	f.dies("t3", map[int]int{1: 2})
	if !f.quarantined(1) {
		t.Error("not quarantined after another death")
	}
	f.clock.Advance(defaultRetention + time.Second)
	if a := f.list.Assess(base(1), nil); a.Deaths != 0 {
		t.Errorf("remembered forever: %+v", a)
	}
}

func TestSuspectsOnOneTargetNeedMoreDeaths(t *testing.T) {
	f := newFleet()
	f.dies("t1", map[int]int{1: 0, 2: 0})
	f.dies("t2", map[int]int{1: 1, 2: 1})
	if f.quarantined(1) || f.quarantined(2) {
		t.Error("quarantined although either request may have been the cause")
	}
	f.dies("t3", map[int]int{1: 2})
	if !f.quarantined(1) || f.quarantined(2) {
		t.Error("want only the request of the third death quarantined")
	}
}

// TestRegionFailureQuarantinesNothing checks that nothing is quarantined when all targets of a
// region die while they run the same popular request and retries of others.
func TestRegionFailureQuarantinesNothing(t *testing.T) {
	f := newFleet()
	for i := range 10 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{1: 0, 10 + i: 0})
	}
	if f.quarantined(1) {
		t.Error("quarantined a request that ran on all targets before the first died")
	}
	f = newFleet()
	for i := range 10 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{10 + i: 0, 9 + i: min(i, 1)})
	}
	for i := range 20 {
		if f.quarantined(i) {
			t.Errorf("request %d, retried once within the region, is quarantined", i)
		}
	}
}

func TestRepeatedReportCountsOnce(t *testing.T) {
	f := newFleet()
	d := Death{ID: "t1@1", Target: "t1"}
	fingerprint := NewFingerprint(base(1), []byte("body"))
	if !f.list.RecordDeath(fingerprint, d) || f.list.RecordDeath(fingerprint, d) {
		t.Error("one death counted twice")
	}
	if a := f.list.Assess(base(1), []byte("body")); a.Deaths != 1 || a.Quarantined {
		t.Errorf("got %+v", a)
	}
}

// TestReportsInAnyOrder checks that a request is quarantined if the second death is reported before
// the first, or only the second is reported.
func TestReportsInAnyOrder(t *testing.T) {
	first, second := Death{ID: "t1@1", Target: "t1"}, Death{ID: "t2@1", Target: "t2", Prior: 1}
	for _, deaths := range [][]Death{{first, second}, {second, first}, {second}} {
		f := newFleet()
		for _, d := range deaths {
			f.list.RecordDeath(NewFingerprint(base(1), nil), d)
		}
		if !f.quarantined(1) {
			t.Errorf("%+v: not quarantined", deaths)
		}
	}
}

func TestBodyDistinguishesRequests(t *testing.T) {
	f := newFleet()
	for i := range 2 {
		f.list.RecordDeath(NewFingerprint(base(1), []byte("poison")), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i), Prior: i})
	}
	if n, known := f.list.Prefix(base(1)); n != 6 || !known {
		t.Errorf("prefix %d %v", n, known)
	}
	if !f.list.Assess(base(1), []byte("poison and more")).Quarantined {
		t.Error("a body with the same prefix is not quarantined")
	}
	for _, body := range []string{"", "pois", "harmless"} {
		if a := f.list.Assess(base(1), []byte(body)); a.Deaths != 0 {
			t.Errorf("%q: %+v", body, a)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.list = NewList(Config{Clock: f.clock, Size: 4})
		for i := range rapid.IntRange(0, 300).Draw(t, "deaths") {
			b := base(rapid.IntRange(0, 9).Draw(t, "base"))
			body := []byte{byte(rapid.IntRange(0, 20).Draw(t, "body"))}
			f.list.RecordDeath(NewFingerprint(b, body), Death{ID: fmt.Sprint(i), Target: "t"})
		}
		s := f.list.state
		if s.suspects.Len() > 4 || len(s.events) > maxEvents {
			t.Fatalf("%d bases, %d events", s.suspects.Len(), len(s.events))
		}
		for _, variants := range s.suspects.Values() {
			if len(variants) > maxVariants {
				t.Fatalf("%d variants", len(variants))
			}
			for _, v := range variants {
				if len(v.deaths) > maxDeaths {
					t.Fatalf("%d deaths", len(v.deaths))
				}
			}
		}
	})
}

func BenchmarkPrefixOfUnknown(b *testing.B) {
	l := NewList(Config{})
	b.ReportAllocs()
	for i := range b.N {
		l.Prefix(base(i))
	}
}

// TestPopularRequestIsCleared checks that a popular request is not quarantined although it runs on
// every target that another request crashes, as other targets answer it in between.
func TestPopularRequestIsCleared(t *testing.T) {
	f := newFleet()
	const popular, crashing = 1, 2
	for i := range 4 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{popular: f.list.Assess(base(popular), nil).Deaths, crashing: min(i, 1)})
		f.list.Clear(base(popular), nil)
	}
	if f.quarantined(popular) || !f.quarantined(crashing) {
		t.Error("want only the crashing request quarantined")
	}
}

// withTrials returns a fleet whose quarantines end with trials.
func withTrials() *fleet {
	f := newFleet()
	f.list = NewList(Config{Clock: f.clock, Duration: 10 * time.Second, MaxTrials: 2, Backoff: 6, MaxAnswered: 64})
	return f
}

// TestThirdDeathIsOnProbation checks that a request that crashes three targets is restricted even
// while other targets die too.
func TestThirdDeathIsOnProbation(t *testing.T) {
	f := withTrials()
	for i := range 3 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{1: min(i, 1), 10: 0, 11: min(i, 1)})
		f.dies(fmt.Sprintf("other%d", i), map[int]int{20 + i: 0})
	}
	if a := f.list.Assess(base(1), nil); !a.Probation && !a.Quarantined {
		t.Errorf("got %+v", a)
	}
	for i := range 3 {
		if a := f.list.Assess(base(20+i), nil); a.Probation || a.Quarantined {
			t.Errorf("request %d, one death: %+v", 20+i, a)
		}
	}
}

// TestTrials checks that a quarantine ends with a trial and lasts longer after each trial.
func TestTrials(t *testing.T) {
	f := withTrials()
	f.dies("t1", map[int]int{1: 0})
	f.dies("t2", map[int]int{1: 1})
	p := NewFingerprint(base(1), nil)
	for trial, hold := range []time.Duration{10 * time.Second, time.Minute} {
		if a := f.list.Assess(base(1), nil); !a.Quarantined || a.RetryAfter > hold {
			t.Fatalf("before trial %d: %+v", trial+1, a)
		}
		f.clock.Advance(hold)
		if a := f.list.Assess(base(1), nil); a.Quarantined || !a.Probation {
			t.Fatalf("%v later: %+v", hold, a)
		}
		f.list.RecordTrials(p, trial+1)
		if a := f.list.Assess(base(1), nil); !a.Quarantined {
			t.Fatalf("while trial %d runs: %+v", trial+1, a)
		}
		f.dies(fmt.Sprint("t", 3+trial), map[int]int{1: 2 + trial})
	}
	f.clock.Advance(20 * time.Minute)
	if a := f.list.Assess(base(1), nil); !a.Quarantined || a.Probation {
		t.Errorf("after the last trial: %+v", a)
	}
	f.clock.Advance(defaultRetention)
	if a := f.list.Assess(base(1), nil); a.Deaths != 0 {
		t.Errorf("remembered forever: %+v", a)
	}
}

// TestAnswerEndsTheSuspicion guards against reports of other VMs that make a request suspect again
// after a target has answered it.
func TestAnswerEndsTheSuspicion(t *testing.T) {
	f := withTrials()
	f.dies("t1", map[int]int{1: 0})
	f.dies("t2", map[int]int{1: 1})
	p := NewFingerprint(base(1), nil)
	c, ok := f.list.Find(p)
	if !ok || !c.Quarantined || len(c.Deaths) != 2 || len(f.list.Cases(0)) != 1 {
		t.Fatalf("%+v", c)
	}
	if !f.list.RecordAnswer(p) || f.list.RecordAnswer(p) {
		t.Error("want the first answer, and only it, to report a suspect")
	}
	for _, d := range c.Deaths {
		f.list.RecordDeath(p, d)
	}
	f.list.Restore(c)
	if a := f.list.Assess(base(1), nil); a != (Assessment{}) {
		t.Errorf("got %+v", a)
	}
	other := withTrials()
	other.list.Restore(c)
	if a := other.list.Assess(base(1), nil); !a.Quarantined {
		t.Errorf("another process: %+v", a)
	}
}

// TestAnAnswerExcusesOneDeath checks that only the first death after a recent answer is excused.
func TestAnAnswerExcusesOneDeath(t *testing.T) {
	f := withTrials()
	p := NewFingerprint(base(1), nil)
	f.list.RecordAnswer(p)
	if f.list.RecordDeath(p, Death{ID: "t1@1", Target: "t1"}) {
		t.Error("the first death after an answer made it suspect")
	}
	if f.list.RecordDeath(p, Death{ID: "t1@1", Target: "t1"}) {
		t.Error("a repeated report made it suspect")
	}
	if !f.list.RecordDeath(p, Death{ID: "t2@1", Target: "t2"}) {
		t.Error("the second death did not make it suspect")
	}
	f.list.RecordAnswer(p)
	f.clock.Advance(3 * answeredPeriod)
	if !f.list.RecordDeath(p, Death{ID: "t3@1", Target: "t3"}) {
		t.Error("an expired answer excused a death")
	}
}

// BenchmarkAnswered measures the cost of each answered request.
func BenchmarkAnswered(b *testing.B) {
	l := NewList(Config{MaxAnswered: 4096})
	body := make([]byte, 300)
	b.ReportAllocs()
	for i := range b.N {
		body[0], body[1] = byte(i), byte(i>>8)
		l.RecordAnswer(NewFingerprint(base(1), body))
	}
}

// BenchmarkCases measures what runs four times a second while there are suspects, all of them
// harmless.
func BenchmarkCases(b *testing.B) {
	l := NewList(Config{MaxTrials: 2, Size: 256})
	for i := range 256 {
		l.RecordDeath(NewFingerprint(base(i), nil), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i % 30)})
	}
	b.ReportAllocs()
	for range b.N {
		l.Cases(0)
	}
}

// BenchmarkAssess measures the cost of each request while others are suspect.
func BenchmarkAssess(b *testing.B) {
	l := NewList(Config{MaxTrials: 2})
	for i := range 64 {
		l.RecordDeath(NewFingerprint(base(i), nil), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i)})
	}
	b.ReportAllocs()
	for i := range b.N {
		l.Assess(base(i%128), nil)
	}
}
