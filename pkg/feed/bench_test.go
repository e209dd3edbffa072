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

// benchConfig returns a configuration with n accounts that have one key each.
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

// rateChange returns a change with the given version that sets an account's rate.
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

// BenchmarkApply measures what it costs a VM to decode and apply a change.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("accounts=%d", size), func(b *testing.B) {
			s, err := newState().withUpdate(update{snapshot: benchConfig(size), version: 1, readAt: 1, agreedAt: never})
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
				if next, err := s.withUpdate(update{entries: entries, version: 2, readAt: 2, agreedAt: never}); err != nil || next.version() != 2 {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the cost of starting a VM from a peer or the object
// store: the source encodes, the VM decodes and validates.
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

// relayAccountsEnv is an environment variable that makes the test binary a relay
// whose configuration has that many accounts. A separate process allows the
// relay's processor time to be measured apart from that of its followers.
const relayAccountsEnv = "FEED_BENCH_RELAY_ACCOUNTS"

func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(relayAccountsEnv)); err == nil {
		runRelay(n)
		return
	}
	goleak.VerifyTestMain(m)
}

// runRelay prints its address, and then its processor time in nanoseconds
// after each line that it reads. The line "step" publishes a new version first.
func runRelay(accounts int) {
	ctx, cancel := context.WithCancel(context.Background())
	loop := control.NewLoop()
	go loop.Run(ctx)
	defer cancel()
	f := New(Config{Loop: loop, Clock: clock.System{}, Members: noPeers{}})
	must(f.applyUpdateAndWait(ctx, update{snapshot: benchConfig(accounts), version: 1, readAt: f.cfg.Clock.Now(), agreedAt: never}))
	// Simulates the periodic reads of the store.
	loop.Every(ctx, defaultPollInterval, func() {
		f.applyUpdate(update{version: f.state.Load().version(), readAt: f.cfg.Clock.Now(), agreedAt: never})
	})
	_, h := f.Handler()
	server := httptest.NewServer(h)
	defer server.Close()
	fmt.Println(strings.TrimPrefix(server.URL, "http://"))
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if version := f.state.Load().version() + 1; lines.Text() == "step" {
			u := update{entries: []entry{must(rateChange(version))}, version: version, readAt: f.cfg.Clock.Now(), agreedAt: never}
			must(f.applyUpdateAndWait(ctx, u))
		}
		fmt.Println(cpuTime().Nanoseconds())
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// relayProcess controls a child process that executes runRelay.
type relayProcess struct {
	address string
	in      io.WriteCloser
	out     *bufio.Scanner
}

func startRelay(b *testing.B, accounts int) *relayProcess {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", relayAccountsEnv, accounts))
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
	p.address = p.readLine(b)
	return p
}

func (p *relayProcess) readLine(b *testing.B) string {
	if !p.out.Scan() {
		b.Fatal("the relay process ended")
	}
	return p.out.Text()
}

// command sends a command and returns the relay's processor time.
func (p *relayProcess) command(b *testing.B, command string) time.Duration {
	fmt.Fprintln(p.in, command)
	return time.Duration(must(strconv.ParseInt(p.readLine(b), 10, 64)))
}

// benchFleet is a relay in its own process and followers in this process, which
// long-poll the relay over loopback TCP.
type benchFleet struct {
	relay     *relayProcess
	followers []*Feed
	bytes     atomic.Int64
}

// countingConn counts the bytes read and written.
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
		must(f.applyUpdateAndWait(ctx, update{snapshot: c, version: 1, readAt: f.cfg.Clock.Now(), agreedAt: never}))
		f.cfg.Self = member.Peer{ID: fmt.Sprint(i), Incarnation: fmt.Sprint(i)}
		f.relay.Store(&observation{row: row, revision: 1, observed: true})
		f.cfg.PeerDialer.HTTPClient().Transport = &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countingConn{conn, &fleet.bytes}, err
		}}
		f.cfg.Loop.Go(ctx, f.follow)
		fleet.followers = append(fleet.followers, f)
	}
	// Cleanups run last in, first out: cancel stops the followers before the
	// feeds' cleanups wait for them.
	b.Cleanup(cancel)
	return fleet
}

// publishVersion makes the relay publish a version and waits until all followers have it.
func (f *benchFleet) publishVersion(b *testing.B, version int64) {
	f.relay.command(b, "step")
	for _, v := range f.followers {
		for v.state.Load().version() < version {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// usage holds the network bytes and processor time that a fleet has used.
type usage struct {
	bytes            int64
	relay, followers time.Duration
}

func (f *benchFleet) usage(b *testing.B) usage {
	return usage{bytes: f.bytes.Load(), relay: f.relay.command(b, "time"), followers: cpuTime()}
}

// report reports the usage since before, divided by the number of operations.
func (f *benchFleet) report(b *testing.B, before usage, per string) {
	after := f.usage(b)
	n := float64(b.N)
	each := n * float64(len(f.followers))
	b.ReportMetric(float64(after.bytes-before.bytes)/each, "B/"+per+"/VM")
	b.ReportMetric(float64((after.followers-before.followers).Microseconds())/each, "cpu-µs/"+per+"/VM")
	b.ReportMetric(float64((after.relay-before.relay).Microseconds())/n, "cpu-µs/"+per+"/relay")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSpread measures the distribution of a change from a relay to its
// failure domain.
func BenchmarkSpread(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10000} {
		for _, followers := range []int{4, 31, 124} {
			b.Run(fmt.Sprintf("accounts=%d/followers=%d", accounts, followers), func(b *testing.B) {
				fleet := newBenchFleet(b, followers, accounts, maxPullWait)
				version := int64(2)
				fleet.publishVersion(b, version)
				before := fleet.usage(b)
				for range b.N {
					version++
					fleet.publishVersion(b, version)
				}
				fleet.report(b, before, "change")
			})
		}
	}
}

// BenchmarkIdle measures the cost of following while nothing changes. An
// operation is one second.
func BenchmarkIdle(b *testing.B) {
	for _, followers := range []int{4, fanOut, 31, 124} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			fleet := newBenchFleet(b, followers, 1000, defaultPullWait)
			fleet.publishVersion(b, 2)
			before := fleet.usage(b)
			for range b.N {
				time.Sleep(time.Second)
			}
			fleet.report(b, before, "s")
		})
	}
}
