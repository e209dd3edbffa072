package feed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"

	"crocusramp.dev/crocusramp/pkg/clock"
	"crocusramp.dev/crocusramp/pkg/config"
	"crocusramp.dev/crocusramp/pkg/control"
	"crocusramp.dev/crocusramp/pkg/keys"
	"crocusramp.dev/crocusramp/pkg/member"
)

// benchConfig has n accounts with a key each.
func benchConfig(n int) *config.Config {
	c := config.Empty()
	c.Version = 1
	for i := range n {
		name := fmt.Sprintf("account-%06d", i)
		c.Accounts[name] = &config.Account{Name: name, Rate: 100, Burst: 20, Weight: 1}
		k, _ := keys.New(name)
		c.Keys[k.ID] = &k
	}
	return c
}

// rateChange sets the rate of an account, as a change of the given version.
func rateChange(version int64) (entry, error) {
	ch := config.Change{
		ID: uuid.New(), Version: version, Time: time.Now().UTC(),
		Action: config.Action{Account: config.Update("account-000000", config.Account{
			Name: "account-000000", Rate: float64(version), Burst: 20, Weight: 1,
		})},
	}
	data, err := config.EncodeChange(ch)
	return entry{change: ch, data: data}, err
}

// BenchmarkApply is what a change costs a VM besides its transport.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", size), func(b *testing.B) {
			s, err := newState().with(update{snapshot: benchConfig(size), version: 1, read: 1, agreed: never})
			if err != nil {
				b.Fatal(err)
			}
			data := must(rateChange(2)).data
			b.ReportAllocs()
			for b.Loop() {
				entries, err := decodeEntries([][]byte{data})
				if err != nil {
					b.Fatal(err)
				}
				if next, err := s.with(update{entries: entries, version: 2, read: 2, agreed: never}); err != nil || next.version() != 2 {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot is what a VM that boots from a peer or the object store
// costs: encoding there, decoding and validation here.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		c := benchConfig(size)
		data, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/accounts=%d", size), func(b *testing.B) {
			for b.Loop() {
				if _, err := c.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("decode/accounts=%d", size), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// relayAccounts, in the environment, makes the test binary a relay whose
// configuration has that many accounts, so that the processor time of a relay
// can be told from that of its followers.
const relayAccounts = "FEED_BENCH_RELAY_ACCOUNTS"

func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(relayAccounts)); err == nil {
		runRelay(n)
		return
	}
	goleak.VerifyTestMain(m)
}

// runRelay prints its address, and then its processor time in nanoseconds
// after each line that it reads. The line "step" makes the next version.
func runRelay(accounts int) {
	ctx, cancel := context.WithCancel(context.Background())
	loop := control.NewLoop()
	go loop.Run(ctx)
	defer cancel()
	f := New(Config{Loop: loop, Clock: clock.System{}, Members: noPeers{}})
	must(f.takeNow(ctx, update{snapshot: benchConfig(accounts), version: 1, read: f.cfg.Clock.Now(), agreed: never}))
	// Stands in for the periodic reads of the store.
	loop.Every(ctx, defaultPoll, func() {
		f.take(update{version: f.state.Load().version(), read: f.cfg.Clock.Now(), agreed: never})
	})
	_, h := f.Handler()
	server := httptest.NewServer(h)
	defer server.Close()
	fmt.Println(strings.TrimPrefix(server.URL, "http://"))
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if version := f.state.Load().version() + 1; lines.Text() == "step" {
			u := update{entries: []entry{must(rateChange(version))}, version: version, read: f.cfg.Clock.Now(), agreed: never}
			must(f.takeNow(ctx, u))
		}
		fmt.Println(processorTime().Nanoseconds())
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// relayProcess is the parent's side of runRelay.
type relayProcess struct {
	address string
	in      io.WriteCloser
	out     *bufio.Scanner
}

func startRelay(b *testing.B, accounts int) *relayProcess {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", relayAccounts, accounts))
	p := &relayProcess{in: must(cmd.StdinPipe()), out: bufio.NewScanner(must(cmd.StdoutPipe()))}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = p.in.Close()
		if err := cmd.Wait(); err != nil {
			b.Errorf("relay: %v", err)
		}
	})
	p.address = p.line(b)
	return p
}

func (p *relayProcess) line(b *testing.B) string {
	if !p.out.Scan() {
		b.Fatal("the relay ended")
	}
	return p.out.Text()
}

// do sends a command and returns the relay's processor time.
func (p *relayProcess) do(b *testing.B, command string) time.Duration {
	fmt.Fprintln(p.in, command)
	return time.Duration(must(strconv.ParseInt(p.line(b), 10, 64)))
}

// benchFleet is a relay in its own process with followers here that hold long
// polls to it over loopback TCP.
type benchFleet struct {
	relay     *relayProcess
	followers []*Feed
	bytes     atomic.Int64
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}

func newBenchFleet(b *testing.B, followers, accounts int, wait time.Duration) *benchFleet {
	fleet := &benchFleet{relay: startRelay(b, accounts)}
	c := benchConfig(accounts)
	row := relayRow{ID: "relay", Incarnation: "relay-1", Address: fleet.relay.address}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range followers {
		f := newFeed(b, Config{PullWait: wait})
		must(f.takeNow(ctx, update{snapshot: c, version: 1, read: f.cfg.Clock.Now(), agreed: never}))
		f.cfg.Self = member.Peer{ID: fmt.Sprint(i), Incarnation: fmt.Sprint(i)}
		f.relay.Store(&observation{row: row, revision: 1, known: true})
		f.cfg.Peers.HTTP().Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{conn, &fleet.bytes}, err
		}
		f.cfg.Loop.Go(ctx, f.follow)
		fleet.followers = append(fleet.followers, f)
	}
	b.Cleanup(cancel) // runs first, since the loops wait for their followers
	return fleet
}

// step makes a version and waits until all followers have it.
func (f *benchFleet) step(b *testing.B, version int64) {
	f.relay.do(b, "step")
	for _, v := range f.followers {
		for v.state.Load().version() < version {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// usage is what a fleet has spent.
type usage struct {
	bytes            int64
	relay, followers time.Duration
}

func (f *benchFleet) usage(b *testing.B) usage {
	return usage{bytes: f.bytes.Load(), relay: f.relay.do(b, "time"), followers: processorTime()}
}

// report prints what was spent since before, for each of n operations.
func (f *benchFleet) report(b *testing.B, before usage, per string) {
	after := f.usage(b)
	n := float64(b.N)
	each := n * float64(len(f.followers))
	b.ReportMetric(float64(after.bytes-before.bytes)/each, "B/"+per+"/node")
	b.ReportMetric(float64((after.followers-before.followers).Microseconds())/each, "cpu-µs/"+per+"/node")
	b.ReportMetric(float64((after.relay-before.relay).Microseconds())/n, "cpu-µs/"+per+"/relay")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSpread brings changes from a relay to its failure domain.
func BenchmarkSpread(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10000} {
		for _, followers := range []int{4, 31, 124} {
			b.Run(fmt.Sprintf("accounts=%d/followers=%d", accounts, followers), func(b *testing.B) {
				fleet := newBenchFleet(b, followers, accounts, maxPullWait)
				version := int64(2)
				fleet.step(b, version)
				before := fleet.usage(b)
				for range b.N {
					version++
					fleet.step(b, version)
				}
				fleet.report(b, before, "change")
			})
		}
	}
}

// BenchmarkIdle is what following costs while nothing changes; an operation is
// one second.
func BenchmarkIdle(b *testing.B) {
	for _, followers := range []int{4, fanOut, 31, 124} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			fleet := newBenchFleet(b, followers, 1000, defaultPullWait)
			fleet.step(b, 2)
			before := fleet.usage(b)
			for range b.N {
				time.Sleep(time.Second)
			}
			fleet.report(b, before, "s")
		})
	}
}
