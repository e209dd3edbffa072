// Package capacity measures the control overhead of a fleet of idle VMs, for
// docs/CAPACITY.md.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/internal/freeport"
	"crocusramp.dev/crocusramp/pkg/daemon"
	"crocusramp.dev/crocusramp/pkg/settings"
	"crocusramp.dev/crocusramp/pkg/standin/directory"
	"crocusramp.dev/crocusramp/pkg/storage"
	"crocusramp.dev/crocusramp/platform/standin"
)

const (
	anyPort = "127.0.0.1:0"
	// warmUp is how long a fleet runs before it is measured.
	warmUp = 8 * time.Second
	// measurePeriod is how long the measurement takes.
	measurePeriod    = 10 * time.Second
	regions          = 3
	domainsPerRegion = 2
)

// accounts is the number of client accounts in a fleet.
const accounts = 8

// fleet holds the daemons and their platform, which run in this process.
type fleet struct {
	store     *standin.Store
	operators string
	daemons   []*daemon.Daemon
	stop      context.CancelFunc
	ended     chan error
}

func startFleet(b *testing.B, n int) *fleet {
	b.Helper()
	f := &fleet{store: standin.New(), operators: freeport.Address(b), ended: make(chan error, n)}
	vmList := directory.New()
	storeServer := httptest.NewServer(f.store.Handler())
	directoryServer := httptest.NewServer(vmList.Handler())
	b.Cleanup(func() { storeServer.Close(); directoryServer.Close() })
	regionNames := []string{}
	for r := range regions {
		regionNames = append(regionNames, fmt.Sprint("region-", r))
	}
	var vmEntries []storage.VM
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for i := range n {
		region := regionNames[i%regions]
		operators := anyPort
		if i == 0 {
			operators = f.operators
		}
		text, err := json.Marshal(settings.Settings{
			VM:      settings.VM{ID: fmt.Sprintf("vm-%03d", i), Region: region, FailureDomain: fmt.Sprint(region, "-", i/regions%domainsPerRegion)},
			Listen:  settings.Listen{Callers: anyPort, Operators: operators, Peers: anyPort},
			Regions: regionNames,
			Slots:   max(16, 2*n),
			Platform: settings.Platform{
				Store: settings.Store{Address: storeServer.Listener.Addr().String()}, Directory: settings.Directory{URL: directoryServer.URL + "/"},
			},
			Stop: settings.Stop{Notice: settings.Duration{Duration: time.Millisecond}},
		})
		if err != nil {
			b.Fatal(err)
		}
		s, err := settings.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		d, err := daemon.New(ctx, s, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		f.daemons = append(f.daemons, d)
		vmEntries = append(vmEntries, storage.VM{ID: s.VM.ID, PeerAddress: d.PeerAddress(), State: storage.VMLive})
	}
	vmList.Set(vmEntries)
	for _, d := range f.daemons {
		go func() { f.ended <- d.Run(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		for range f.daemons {
			if err := <-f.ended; err != nil {
				b.Error(err)
			}
		}
	})
	return f
}

// createAccounts creates the client accounts. It retries until the fleet accepts
// changes.
func (f *fleet) createAccounts(b *testing.B) {
	b.Helper()
	client := operatorpb.NewAccountsProtobufClient("http://"+f.operators, http.DefaultClient)
	deadline := time.Now().Add(time.Minute)
	for i := range accounts {
		account := &operatorpb.Account{Name: fmt.Sprint("account-", i), Rate: 500, Burst: 100}
		for {
			_, err := client.Create(context.Background(), &operatorpb.CreateAccountRequest{Account: account})
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				b.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// sumCounters returns the sum of the named counters over all VMs.
func (f *fleet) sumCounters(names ...string) float64 {
	sum := int64(0)
	for _, d := range f.daemons {
		for _, name := range names {
			sum += metrics.GetOrRegisterCounter(name, d.Metrics()).Count()
		}
	}
	return float64(sum)
}

// peerBytes returns how many bytes the VMs received and sent on their peer
// listeners.
func (f *fleet) peerBytes() float64 { return f.sumCounters("peer.bytes_received", "peer.bytes_sent") }

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleFleet reports the resources that a fleet without callers uses per
// second, at four sizes. CPU time and memory include those of the stand-ins.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := startFleet(b, n)
			f.createAccounts(b)
			time.Sleep(warmUp)
			before := f.store.Counts()
			bytes, collections, cpuUsed := f.peerBytes(), f.sumCounters("limit.collections"), cpuTime(b)
			time.Sleep(measurePeriod)
			cpuUsed = cpuTime(b) - cpuUsed
			bytes, collections = f.peerBytes()-bytes, f.sumCounters("limit.collections")-collections
			after := f.store.Counts()
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			seconds := measurePeriod.Seconds()
			vms := float64(n)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(100*cpuUsed.Seconds()/seconds/vms, "%core/VM")
			b.ReportMetric(bytes/seconds/vms, "peer-B/s/VM")
			b.ReportMetric(collections/seconds, "loans/s")
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/vms/(1<<20), "MiB/VM")
			b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
		})
	}
}
