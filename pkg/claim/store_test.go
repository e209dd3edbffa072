package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusramp.dev/crocusramp/pkg/storage"
)

// newTestStore returns a Store with almost no delay between background attempts.
func newTestStore(table storage.Table, vm string) *Store {
	s := NewStore(StoreConfig{Table: table, VM: vm, Incarnation: vm + "-1"})
	s.retryDelay = time.Nanosecond
	return s
}

// TestClaimRunsOnce lets several VMs claim, run and release one request under random faults of the
// table. A VM that runs it never finishes the claim, as if it had crashed. The test checks that the
// request never runs a second time, and is never claimed again unless every earlier claim was
// released without running.
func TestClaimRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFakeTable()
		// The faults are drawn in advance because the table is called on other goroutines.
		table.faults = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(numFaults)-1),
			func(i int) fault { return fault(i) }), 0, 60).Draw(t, "faults")
		table.failingGets = rapid.SliceOfN(rapid.Bool(), 0, 20).Draw(t, "failing gets")
		id := ID{"acme", "filing", "k"}
		var ran int
		var unfinished []*Claim
		for i := range rapid.IntRange(2, 12).Draw(t, "steps") {
			s := newTestStore(table, fmt.Sprintf("vm-%d", i))
			if len(unfinished) > 0 && rapid.Bool().Draw(t, "end") {
				c := unfinished[0]
				unfinished = unfinished[1:]
				c.Finish(Released, Response{})
				c.store.Wait()
				continue
			}
			c, record, err := s.Claim(context.Background(), id)
			s.Wait()
			if set := btoi(c != nil) + btoi(record != nil) + btoi(err != nil); set != 1 {
				t.Fatalf("%d of the results are set, want 1", set)
			}
			if c == nil {
				continue
			}
			if rapid.Bool().Draw(t, "runs") {
				ran++
			} else {
				unfinished = append(unfinished, c)
			}
			if ran+len(unfinished) > 1 {
				t.Fatalf("%d claims ran and %d others may still run, want at most 1 together", ran, len(unfinished))
			}
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestLateReleaseKeepsNewClaim guards against a late release of a first claim that releases a
// second one, made after the first was released.
func TestLateReleaseKeepsNewClaim(t *testing.T) {
	table := newFakeTable()
	id := ID{"acme", "filing", "k"}
	first, _, _ := newTestStore(table, "vm-1").Claim(context.Background(), id)
	replayed := *first
	first.Finish(Released, Response{})
	first.store.Wait()
	second, _, _ := newTestStore(table, "vm-2").Claim(context.Background(), id)
	if second == nil {
		t.Fatal("a released request cannot be claimed again")
	}
	replayed.Finish(Released, Response{})
	replayed.store.Wait()
	if third, _, _ := newTestStore(table, "vm-3").Claim(context.Background(), id); third != nil {
		t.Error("a late release of the first claim released the second")
	}
}

func TestClaimWithLostResponse(t *testing.T) {
	for _, f := range []fault{lostBefore, lostAfter, late} {
		table := newFakeTable()
		table.faults = []fault{f}
		c, _, err := newTestStore(table, "vm-1").Claim(context.Background(), ID{"a", "r", "k"})
		if err != nil || c == nil {
			t.Errorf("fault %d: claim failed: %v", f, err)
			continue
		}
		c.Finish(Done, Response{Status: 201, Stored: true, Body: []byte("x")})
		c.store.Wait()
		_, record, _ := newTestStore(table, "vm-2").Claim(context.Background(), ID{"a", "r", "k"})
		if record == nil || record.State != Done || string(record.Response.Body) != "x" {
			t.Errorf("fault %d: record %+v, want Done with the response", f, record)
		}
	}
}

func TestNoClaimWithoutTable(t *testing.T) {
	table := newFakeTable()
	table.faults = []fault{down, down, down, down}
	if _, _, err := newTestStore(table, "vm-1").Claim(context.Background(), ID{"a", "r", "k"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
}

// TestConcurrentClaimsShareTransactions checks that exactly one of several concurrent claimers gets
// each request, and that no transaction has too many writes.
func TestConcurrentClaimsShareTransactions(t *testing.T) {
	table := newFakeTable()
	stores := []*Store{newTestStore(table, "vm-1"), newTestStore(table, "vm-2")}
	const ids, claimers = 200, 4
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := map[string]int{}
	for i := range ids * claimers {
		wg.Go(func() {
			key := fmt.Sprint(i % ids)
			c, _, err := stores[i%2].Claim(context.Background(), ID{"a", "r", key})
			if err != nil {
				t.Error(err)
			}
			if c != nil {
				mu.Lock()
				won[key]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for key, n := range won {
		if n != 1 {
			t.Errorf("request %s was claimed %d times", key, n)
		}
	}
	if len(won) != ids {
		t.Errorf("%d of %d requests were claimed", len(won), ids)
	}
	for _, n := range table.transactionSizes {
		if n > storage.MaxTransactWrites {
			t.Errorf("a transaction has %d writes, more than MaxTransactWrites", n)
		}
	}
}

func FuzzHashID(f *testing.F) {
	f.Add("a", "b", "c", "ab", "", "c")
	f.Fuzz(func(t *testing.T, a, b, c, x, y, z string) {
		one, two := ID{a, b, c}, ID{x, y, z}
		if (one == two) != (hashID(one) == hashID(two)) {
			t.Errorf("hashes of %q and %q: equal IDs must have equal hashes and different IDs different ones", one, two)
		}
	})
}

// BenchmarkClaim compares batched claims with one transaction per claim, on a table that takes 2 ms
// per transaction.
func BenchmarkClaim(b *testing.B) {
	for _, batched := range []bool{true, false} {
		b.Run(fmt.Sprintf("batched=%v", batched), func(b *testing.B) {
			table := &slowTable{fakeTable: newFakeTable()}
			store := newTestStore(table, "vm-1")
			var n int
			var mu sync.Mutex
			b.SetParallelism(20)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					mu.Lock()
					n++
					id := ID{"a", "r", fmt.Sprint(n)}
					mu.Unlock()
					if batched {
						_, _, _ = store.Claim(context.Background(), id)
					} else {
						_ = table.Transact(context.Background(), []storage.Write{{Key: itemKey(id)}})
					}
				}
			})
			b.ReportMetric(float64(len(table.transactionSizes))/float64(b.N), "transactions/claim")
		})
	}
}

// slowTable delays each transaction.
type slowTable struct{ *fakeTable }

func (s *slowTable) Transact(ctx context.Context, writes []storage.Write) error {
	time.Sleep(2 * time.Millisecond)
	return s.fakeTable.Transact(ctx, writes)
}
