package queue

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/clock"
)

const never = clock.Time(1 << 60)

func entry(account string, weight int, c Class) *Entry[int] {
	return &Entry[int]{Account: account, Weight: weight, Class: c, Expires: never}
}

func newQueue(capacity int) *Queue[int] {
	return New[int](Config{Capacity: capacity, MinShares: DefaultMinShares})
}

func served(q *Queue[int], n int) map[string]int {
	got := map[string]int{}
	for range n {
		e, _ := q.Pop(0)
		got[fmt.Sprintf("%s/%d", e.Account, e.Class)]++
	}
	return got
}

func TestPopDividesByWeight(t *testing.T) {
	q := newQueue(1000)
	for i := range 300 {
		q.Push(entry("flood", 1, Normal))
		if i < 100 {
			q.Push(entry("one", 1, Normal))
			q.Push(entry("two", 2, Normal))
		}
	}
	got := served(q, 120)
	for account, want := range map[string]int{"flood/1": 30, "one/1": 30, "two/1": 60} {
		if got[account] != want {
			t.Errorf("%s: served %d of 120, want %d", account, got[account], want)
		}
	}
}

func TestLowClassIsNotStarved(t *testing.T) {
	q := newQueue(1000)
	for range 500 {
		q.Push(entry("a", 1, High))
		q.Push(entry("a", 1, Normal))
		q.Push(entry("a", 1, Low))
	}
	got := served(q, 400)
	if got["a/0"] < 336 || got["a/1"] < 39 || got["a/2"] < 19 {
		t.Errorf("served of 400: %v, want at least 336 high, 39 normal and 19 low", got)
	}
}

// TestShareCountsCost checks that classes and accounts share the capacity, not the
// number of requests.
func TestShareCountsCost(t *testing.T) {
	q := newQueue(10_000)
	for i := range 3000 {
		q.Push(entry("a", 1, Normal))
		if i < 1000 {
			slow := entry("slow", 1, Normal)
			slow.Cost = 10
			q.Push(slow)
			low := entry("a", 1, Low)
			low.Cost = 20
			q.Push(low)
		}
	}
	cost := map[string]float64{}
	total := 0.0
	for total < 4000 {
		e, _ := q.Pop(0)
		cost[fmt.Sprintf("%s/%d", e.Account, e.Class)] += e.cost()
		total += e.cost()
	}
	for name, want := range map[string]float64{"a/1": 0.475, "slow/1": 0.475, "a/2": 0.05} {
		if got := cost[name] / total; math.Abs(got-want) > 0.01 {
			t.Errorf("%s: %.3f of the cost, want %.3f", name, got, want)
		}
	}
}

func TestFullQueueDropsNewestEntryOfLongestAccount(t *testing.T) {
	q := newQueue(10)
	for range 10 {
		q.Push(entry("flood", 1, Normal))
	}
	for range 5 {
		if d := q.Push(entry("meek", 1, Normal)); d == nil || d.Account != "flood" {
			t.Fatalf("dropped %+v, want an entry of flood", d)
		}
	}
	if d := q.Push(entry("meek", 1, Normal)); d == nil || d.Account != "meek" {
		t.Errorf("dropped %+v, want the arriving entry", d)
	}
	if d := q.Push(entry("heavy", 2, Normal)); d == nil || d.Account == "heavy" {
		t.Errorf("dropped %+v, want one of the longer accounts", d)
	}
	if q.Len() != 10 {
		t.Errorf("length %d, want 10", q.Len())
	}
}

// TestQueueModel checks with random operations that no entry is lost, duplicated or
// served after its expiry, and that no class exceeds its capacity.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		q := newQueue(capacity)
		waiting := map[*Entry[int]]bool{}
		now := clock.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					rapid.IntRange(0, 3).Draw(t, "weight"), Class(rapid.IntRange(0, 2).Draw(t, "class")))
				e.Cost = rapid.Float64Range(0, 64).Draw(t, "cost")
				e.Expires = now + clock.Time(rapid.IntRange(1, 20).Draw(t, "wait"))
				waiting[e] = true
				if d := q.Push(e); d != nil {
					if !waiting[d] || d.Class != e.Class || d.Queued() {
						t.Fatalf("dropped %+v, want a waiting entry of the same class", d)
					}
					delete(waiting, d)
				}
			},
			"pop": func(t *rapid.T) {
				now += clock.Time(rapid.IntRange(0, 5).Draw(t, "pause"))
				first := q.Peek()
				e, expired := q.Pop(now)
				if len(expired) > 0 && first != expired[0] || len(expired) == 0 && first != e {
					t.Fatalf("Peek returned %+v, which is not the first entry that Pop removed", first)
				}
				for _, x := range expired {
					if !waiting[x] || now.Before(x.Expires) {
						t.Fatalf("Pop returned %+v as expired at %d", x, now)
					}
					delete(waiting, x)
				}
				if e == nil {
					return
				}
				if !waiting[e] || !now.Before(e.Expires) {
					t.Fatalf("Pop served %+v at %d, which was not waiting or had expired", e, now)
				}
				delete(waiting, e)
			},
			"remove": func(t *rapid.T) {
				entries := q.Entries()
				if len(entries) == 0 {
					return
				}
				e := rapid.SampledFrom(entries).Draw(t, "entry")
				q.Remove(e)
				q.Remove(e)
				delete(waiting, e)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || len(q.Entries()) != len(waiting) {
					t.Fatalf("length %d, want %d", q.Len(), len(waiting))
				}
				for c := range classes {
					if q.LenClass(c) > capacity {
						t.Fatalf("class %d has %d entries, more than its capacity of %d", c, q.LenClass(c), capacity)
					}
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := newQueue(1000)
	for i := range 100 {
		q.Push(entry(fmt.Sprint(i%8), 1, Normal))
	}
	b.ReportAllocs()
	for b.Loop() {
		e, _ := q.Pop(0)
		q.Push(e)
	}
}
