package daemon

import (
	"context"
	"encoding/json"
	"fmt"
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
