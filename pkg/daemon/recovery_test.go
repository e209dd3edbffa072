package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/storage"
)

// BenchmarkRecovery measures how long slots stay without a holder after the
// failure of one failure domain, a quarter of the fleet.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				daemons, stop := startVMs(b, n)
				waitForSlots(b, daemons, 2*n)
				for _, d := range daemons[:n/4] {
					d.cancel()
					_ = d.servers.peers.Close()
				}
				started := time.Now()
				b.StartTimer()
				waitForSlots(b, daemons[n/4:], 2*n)
				b.ReportMetric(time.Since(started).Seconds(), "s/recovery")
				b.StopTimer()
				stop()
				b.StartTimer()
			}
		})
	}
}

// startVMs runs n VMs and returns them with a function that stops them. The
// fleet has two slots for each VM.
func startVMs(b *testing.B, n int) ([]*Daemon, func()) {
	b.Helper()
	s := startStandins(b)
	var daemons []*Daemon
	var list []storage.VM
	for i := range n {
		v := s.settings(fmt.Sprintf("vm-%03d", i))
		v.Slots = 2 * n
		v.Stop = settings.Stop{Notice: settings.Duration{Duration: time.Millisecond}}
		text, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		parsed, err := settings.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		d, err := New(context.Background(), parsed, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		daemons = append(daemons, d)
		list = append(list, storage.VM{ID: v.VM.ID, PeerAddress: d.PeerAddress(), State: storage.VMLive})
	}
	s.directory.Set(list)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	for _, d := range daemons {
		go func() { ended <- d.Run(ctx) }()
	}
	return daemons, func() {
		cancel()
		for range daemons {
			<-ended
		}
	}
}

// waitForSlots returns once the VMs together hold total valid slots.
func waitForSlots(b *testing.B, daemons []*Daemon, total int) {
	b.Helper()
	deadline := time.Now().Add(3 * time.Minute)
	for time.Now().Before(deadline) {
		held := 0
		now := clock.System{}.Now()
		for _, d := range daemons {
			for _, s := range d.leases.Holding().Slots {
				if s.Valid(now) {
					held++
				}
			}
		}
		if held == total {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("the VMs did not hold %d slots within 3 minutes", total)
}

// errorLines is a writer for a zerolog.Logger that passes on the lines of level error.
type errorLines chan []byte

func (w errorLines) Write(p []byte) (int, error) { return len(p), nil }

func (w errorLines) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	if l == zerolog.ErrorLevel {
		w <- bytes.Clone(p)
	}
	return len(p), nil
}

// TestRestoredStoreIsLogged guards against operators who do not learn that slots, claims and
// configuration changes were lost in a restore of the store (docs/PROMISES.md).
func TestRestoredStoreIsLogged(t *testing.T) {
	s := startStandins(t)
	s.store.SendEra(true)
	vm := s.settings("vm-1")
	vm.Stop.Notice = settings.Duration{Duration: 10 * time.Millisecond}
	lines := make(errorLines, 100)
	startWithLog(t, vm, zerolog.New(lines))
	waitFor(t, "the VM has written to the store", func() bool { return s.store.Counts().Writes > 0 })
	if len(lines) > 0 {
		t.Errorf("logged before the restore: %s", <-lines)
	}
	for era := range int64(2) {
		s.store.Restore(s.store.Copy())
		select {
		case line := <-lines:
			var got struct {
				Era     int64
				Message string
			}
			if err := json.Unmarshal(line, &got); err != nil {
				t.Fatal(err)
			}
			if got.Era != era+1 || !strings.Contains(got.Message, "restored from a copy") || !strings.Contains(got.Message, "slots, claims and configuration changes") {
				t.Errorf("restore %d: %s", era+1, line)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("restore %d was not logged", era+1)
		}
	}
}
