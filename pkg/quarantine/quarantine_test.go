package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
)

func base(i int) Base { return Base{byte(i), byte(i >> 8)} }

// fleet plays requests on targets that die when they run the poison.
type fleet struct {
	clock *clock.Fake
	list  *List
	next  int
}

func newFleet() *fleet {
	c := clock.NewFake(1)
	return &fleet{clock: c, list: NewList(Config{Clock: c})}
}

// dies notes the death of a target with the requests that it ran, each with
// the deaths that were known when it was sent.
func (f *fleet) dies(target string, prior map[int]int) {
	f.next++
	for i, n := range prior {
		f.list.Note(NewFingerprint(base(i), nil), Death{ID: fmt.Sprintf("%s@%d", target, f.next), Target: target, Prior: n})
	}
	f.clock.Advance(100 * time.Millisecond)
}

func (f *fleet) quarantined(i int) bool { return f.list.Judge(base(i), nil).Quarantined }

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
		t.Error("not just the request that both targets ran")
	}
	f.clock.Advance(defaultDuration)
	if f.quarantined(1) {
		t.Error("still quarantined after its time")
	}
	f.dies("t3", map[int]int{1: 2})
	if !f.quarantined(1) {
		t.Error("free after it killed again")
	}
	f.clock.Advance(defaultMemory + time.Second)
	if j := f.list.Judge(base(1), nil); j.Deaths != 0 {
		t.Errorf("remembered for ever: %+v", j)
	}
}

func TestSuspectsOnOneTargetNeedMore(t *testing.T) {
	f := newFleet()
	f.dies("t1", map[int]int{1: 0, 2: 0})
	f.dies("t2", map[int]int{1: 1, 2: 1})
	if f.quarantined(1) || f.quarantined(2) {
		t.Error("quarantined although either may have been the cause")
	}
	f.dies("t3", map[int]int{1: 2})
	if !f.quarantined(1) || f.quarantined(2) {
		t.Error("the third death does not tell them apart")
	}
}

// TestRegionFailureQuarantinesNothing has all targets of a region die while
// they run the same popular request and its retries.
func TestRegionFailureQuarantinesNothing(t *testing.T) {
	f := newFleet()
	for i := range 10 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{1: 0, 10 + i: 0})
	}
	if f.quarantined(1) {
		t.Error("a request that ran on all targets before the first died")
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

func TestReportHeardTwiceCountsOnce(t *testing.T) {
	f := newFleet()
	d := Death{ID: "t1@1", Target: "t1"}
	print := NewFingerprint(base(1), []byte("body"))
	if !f.list.Note(print, d) || f.list.Note(print, d) {
		t.Error("one death counted twice")
	}
	if j := f.list.Judge(base(1), []byte("body")); j.Deaths != 1 || j.Quarantined {
		t.Errorf("got %+v", j)
	}
}

// TestReportsInAnyOrder hears of a second death before the first, or only of
// the second.
func TestReportsInAnyOrder(t *testing.T) {
	first, second := Death{ID: "t1@1", Target: "t1"}, Death{ID: "t2@1", Target: "t2", Prior: 1}
	for _, deaths := range [][]Death{{first, second}, {second, first}, {second}} {
		f := newFleet()
		for _, d := range deaths {
			f.list.Note(NewFingerprint(base(1), nil), d)
		}
		if !f.quarantined(1) {
			t.Errorf("%+v: not quarantined", deaths)
		}
	}
}

func TestBodiesTellRequestsApart(t *testing.T) {
	f := newFleet()
	for i := range 2 {
		f.list.Note(NewFingerprint(base(1), []byte("poison")), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i), Prior: i})
	}
	if n, known := f.list.Prefix(base(1)); n != 6 || !known {
		t.Errorf("prefix %d %v", n, known)
	}
	if !f.list.Judge(base(1), []byte("poison and more")).Quarantined {
		t.Error("the same beginning is free")
	}
	for _, body := range []string{"", "pois", "harmless"} {
		if j := f.list.Judge(base(1), []byte(body)); j.Deaths != 0 {
			t.Errorf("%q: %+v", body, j)
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
			f.list.Note(NewFingerprint(b, body), Death{ID: fmt.Sprint(i), Target: "t"})
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

// TestPopularRequestIsCleared has a popular request run on each target that a
// poison kills, and be answered by others in between.
func TestPopularRequestIsCleared(t *testing.T) {
	f := newFleet()
	const popular, poison = 1, 2
	for i := range 4 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{popular: f.list.Judge(base(popular), nil).Deaths, poison: min(i, 1)})
		f.list.Clear(base(popular), nil)
	}
	if f.quarantined(popular) || !f.quarantined(poison) {
		t.Error("the popular request is taken for the poison")
	}
}

// withTrials returns a fleet whose quarantine ends with trials.
func withTrials() *fleet {
	f := newFleet()
	f.list = NewList(Config{Clock: f.clock, Duration: 10 * time.Second, MaxTrials: 2, Backoff: 6, Answered: 64})
	return f
}

// TestThirdDeathIsOnProbation has a request crash three targets while others die, too: it must not
// be sent as before.
func TestThirdDeathIsOnProbation(t *testing.T) {
	f := withTrials()
	for i := range 3 {
		f.dies(fmt.Sprintf("t%d", i), map[int]int{1: min(i, 1), 10: 0, 11: min(i, 1)})
		f.dies(fmt.Sprintf("other%d", i), map[int]int{20 + i: 0})
	}
	if j := f.list.Judge(base(1), nil); !j.Probation && !j.Quarantined {
		t.Errorf("got %+v", j)
	}
	for i := range 3 {
		if j := f.list.Judge(base(20+i), nil); j.Probation || j.Quarantined {
			t.Errorf("request %d, one death: %+v", 20+i, j)
		}
	}
}

// TestTrials has a quarantine end with a trial, and be longer after each.
func TestTrials(t *testing.T) {
	f := withTrials()
	f.dies("t1", map[int]int{1: 0})
	f.dies("t2", map[int]int{1: 1})
	p := NewFingerprint(base(1), nil)
	for trial, hold := range []time.Duration{10 * time.Second, time.Minute} {
		if j := f.list.Judge(base(1), nil); !j.Quarantined || j.RetryAfter > hold {
			t.Fatalf("before trial %d: %+v", trial+1, j)
		}
		f.clock.Advance(hold)
		if j := f.list.Judge(base(1), nil); j.Quarantined || !j.Probation {
			t.Fatalf("%v later: %+v", hold, j)
		}
		f.list.Tried(p, trial+1)
		if j := f.list.Judge(base(1), nil); !j.Quarantined {
			t.Fatalf("while trial %d runs: %+v", trial+1, j)
		}
		f.dies(fmt.Sprint("t", 3+trial), map[int]int{1: 2 + trial})
	}
	f.clock.Advance(20 * time.Minute)
	if j := f.list.Judge(base(1), nil); !j.Quarantined || j.Probation {
		t.Errorf("after the last trial: %+v", j)
	}
	f.clock.Advance(defaultMemory)
	if j := f.list.Judge(base(1), nil); j.Deaths != 0 {
		t.Errorf("remembered for ever: %+v", j)
	}
}

// TestAnswerEndsTheSuspicion guards against a suspicion that the reports of other VMs bring back.
func TestAnswerEndsTheSuspicion(t *testing.T) {
	f := withTrials()
	f.dies("t1", map[int]int{1: 0})
	f.dies("t2", map[int]int{1: 1})
	p := NewFingerprint(base(1), nil)
	c, ok := f.list.Find(p)
	if !ok || !c.Quarantined || len(c.Deaths) != 2 || len(f.list.Cases(0)) != 1 {
		t.Fatalf("%+v", c)
	}
	if !f.list.Answered(p) || f.list.Answered(p) {
		t.Error("not suspect once")
	}
	for _, d := range c.Deaths {
		f.list.Note(p, d)
	}
	f.list.Restore(c)
	if j := f.list.Judge(base(1), nil); j != (Judgement{}) {
		t.Errorf("got %+v", j)
	}
	other := withTrials()
	other.list.Restore(c)
	if j := other.list.Judge(base(1), nil); !j.Quarantined {
		t.Errorf("another process knows %+v", j)
	}
}

// TestAnAnswerExcusesOneDeath has a request that was answered die with targets.
func TestAnAnswerExcusesOneDeath(t *testing.T) {
	f := withTrials()
	p := NewFingerprint(base(1), nil)
	f.list.Answered(p)
	if f.list.Note(p, Death{ID: "t1@1", Target: "t1"}) {
		t.Error("suspect by the first death after an answer")
	}
	if f.list.Note(p, Death{ID: "t1@1", Target: "t1"}) {
		t.Error("suspect by a report heard twice")
	}
	if !f.list.Note(p, Death{ID: "t2@1", Target: "t2"}) {
		t.Error("not suspect by the second")
	}
	f.list.Answered(p)
	f.clock.Advance(3 * answeredPeriod)
	if !f.list.Note(p, Death{ID: "t3@1", Target: "t3"}) {
		t.Error("an old answer excuses a death")
	}
}

// BenchmarkAnswered is what each answered request costs.
func BenchmarkAnswered(b *testing.B) {
	l := NewList(Config{Answered: 4096})
	body := make([]byte, 300)
	b.ReportAllocs()
	for i := range b.N {
		body[0], body[1] = byte(i), byte(i>>8)
		l.Answered(NewFingerprint(base(1), body))
	}
}

// BenchmarkCases is what is done four times a second while there are suspects, all of them innocent.
func BenchmarkCases(b *testing.B) {
	l := NewList(Config{MaxTrials: 2, Size: 256})
	for i := range 256 {
		l.Note(NewFingerprint(base(i), nil), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i % 30)})
	}
	b.ReportAllocs()
	for range b.N {
		l.Cases(0)
	}
}

// BenchmarkJudge is what each request costs while others are suspect.
func BenchmarkJudge(b *testing.B) {
	l := NewList(Config{MaxTrials: 2})
	for i := range 64 {
		l.Note(NewFingerprint(base(i), nil), Death{ID: fmt.Sprint(i), Target: fmt.Sprint(i)})
	}
	b.ReportAllocs()
	for i := range b.N {
		l.Judge(base(i%128), nil)
	}
}
