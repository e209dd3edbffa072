package lease

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/member"
)

const (
	managerSlots = 16
	managerPoll  = 5 * time.Millisecond
	// waitTimeout bounds the wait for a condition that usually holds within milliseconds.
	waitTimeout = 30 * time.Second
)

type viewSource struct{ view atomic.Pointer[member.View] }

func (s *viewSource) View() *member.View { return s.view.Load() }

// managerFleet is a fleet of Managers that share a table and use the system clock.
type managerFleet struct {
	table *memoryTable
	peers []member.Peer
	views []*viewSource
	list  []*Manager
	stop  []context.CancelFunc
	ended sync.WaitGroup
}

func startManagers(t *testing.T, n int) *managerFleet {
	f := &managerFleet{table: newMemoryTable()}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		f.peers = append(f.peers, member.Peer{ID: id, Incarnation: id + "/1", Region: "a"})
	}
	for i := range n {
		f.start(i)
	}
	t.Cleanup(func() {
		for _, stop := range f.stop {
			stop()
		}
		f.ended.Wait()
	})
	return f
}

// start starts or restarts the i-th manager with the current incarnation of its peer.
func (f *managerFleet) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	loop := control.NewLoop()
	f.ended.Go(func() { loop.Run(ctx) })
	src := &viewSource{}
	src.view.Store(f.view(i))
	m := NewManager(Config{
		Table: f.table, Loop: loop, Clock: clock.System{}, Members: src, Self: f.peers[i],
		Slots: managerSlots, Regions: []string{"a"}, PollInterval: managerPoll, Log: zerolog.Nop(),
	})
	if i < len(f.list) {
		f.list[i], f.views[i], f.stop[i] = m, src, cancel
	} else {
		f.list, f.views, f.stop = append(f.list, m), append(f.views, src), append(f.stop, cancel)
	}
	m.Start(ctx)
}

func (f *managerFleet) view(i int) *member.View {
	v := &member.View{Self: f.peers[i], Complete: true}
	for j, p := range f.peers {
		if j != i {
			v.Peers = append(v.Peers, p)
		}
	}
	return v
}

func (f *managerFleet) counts() (list []int, total int) {
	now := clock.System{}.Now()
	for _, m := range f.list {
		n := 0
		for _, s := range m.Holding().Slots {
			if s.Valid(now) {
				n++
			}
		}
		list, total = append(list, n), total+n
	}
	return list, total
}

func (f *managerFleet) wait(t *testing.T, what string, ok func(counts []int, total int) bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		list, total := f.counts()
		if ok(list, total) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("timeout while waiting for %s; slots by VM: %v", what, list)
		}
		time.Sleep(managerPoll)
	}
}

func evenlySpread(list []int, total int) bool {
	for _, n := range list {
		if n < managerSlots/len(list) {
			return false
		}
	}
	return total == managerSlots
}

func TestManagersShareAndRelease(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := startManagers(t, 3)
	f.wait(t, "start", evenlySpread)
	if err := f.list[0].Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(f.list[0].Holding().Slots); n != 0 {
		t.Errorf("%d slots held after the release, want 0", n)
	}
	left := *f.views[1].View()
	left.Peers = left.Peers[1:]
	f.views[1].view.Store(&left)
	f.wait(t, "release", func(list []int, total int) bool { return list[0] == 0 && total == managerSlots })
	// Status is updated by polls only.
	f.wait(t, "status", func([]int, int) bool {
		for _, s := range f.list[1].Status() {
			if s.VM == "" || s.VM == f.peers[0].ID {
				return false
			}
		}
		return true
	})
	for _, stop := range f.stop {
		stop()
	}
	f.ended.Wait()
}

func TestReleaseWhileTheTableIsDown(t *testing.T) {
	f := startManagers(t, 1)
	f.wait(t, "start", evenlySpread)
	f.table.set(func(m *memoryTable) { m.down = true })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.list[0].Release(ctx); !errors.Is(err, ErrNotReleased) {
		t.Errorf("Release: %v, want ErrNotReleased", err)
	}
	if n := len(f.list[0].Holding().Slots); n != 0 {
		t.Errorf("%d slots held after Release, want 0", n)
	}
}

func holds(h *Holding, index int) bool {
	return slices.ContainsFunc(h.Slots, func(s Slot) bool { return s.Index == index })
}

// TestAllRestartedAtOnce checks that, when all VMs restart with new incarnations and without
// a clean stop, a VM acquires only the slots of its own former incarnation, which its
// restart proves dead. It must not acquire the slots of the other former incarnations
// until heartbeats prove that these are dead too.
func TestAllRestartedAtOnce(t *testing.T) {
	f := startManagers(t, 3)
	f.wait(t, "start", evenlySpread)
	former := map[string]*Holding{}
	for i, p := range f.peers {
		former[p.ID] = f.list[i].Holding()
	}
	for _, stop := range f.stop {
		stop()
	}
	f.ended.Wait()
	old := f.peers
	f.peers = nil
	for _, p := range old {
		p.Incarnation = p.ID + "/2"
		f.peers = append(f.peers, p)
	}
	for i := range f.peers {
		f.start(i)
	}
	time.Sleep(10 * managerPoll)
	for i, m := range f.list {
		for _, s := range m.Holding().Slots {
			if !holds(former[f.peers[i].ID], s.Index) {
				t.Errorf("%s acquired slot %d without proof that its holder is dead", f.peers[i].ID, s.Index)
			}
		}
	}
	for i, src := range f.views {
		v := f.view(i)
		for j := range v.Peers {
			v.Peers[j].StateProbedAt = math.MaxInt64
		}
		src.view.Store(v)
	}
	f.wait(t, "restart", evenlySpread)
}
