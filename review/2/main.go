// A long upload crashes each worker that begins to run it, while its body is still arriving. The VMs never find out, and
// send it as often as it comes. See claim.txt.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"crocusramp.dev/crocusramp/review/harness"
)

const (
	service  = "huvo11a"
	unsafe   = "/pufi791/"
	workers  = 8
	slots    = 9
	deadline = 2500 * time.Millisecond
	playTime = 40 * time.Second
	// The client's link carries pieceBytes each roundTrip.
	bodyBytes  = 200_000
	pieceBytes = 14_600
	roundTrip  = 30 * time.Millisecond
	// crashAfter is how long a worker lives after it has begun to run the request.
	crashAfter = 50 * time.Millisecond
	every      = 2 * time.Second
	// stableWindow is stable_window_s, allowed the retries that the rule allows after it.
	stableWindow = 3 * time.Second
	allowed      = 3
	backAfter    = 3 * time.Second // a worker that has crashed
	poison       = "/pufi791/scan"
)

func main() {
	d := harness.New(os.Args[1])
	code := play(d)
	d.Close()
	os.Exit(code)
}

// fleet holds the workers and counts the runs of the request.
type fleet struct {
	d      *harness.Deployment
	mu     sync.Mutex
	n      int
	runsAt []time.Time
}

func (f *fleet) add() {
	f.mu.Lock()
	f.n++
	id := fmt.Sprint("i-", f.n)
	f.mu.Unlock()
	w := f.d.NewWorker(id, service, "ploiesti-a", slots, 3*slots)
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	w.OnConn = func(c *harness.Conn) {
		mu.Lock()
		defer mu.Unlock()
		conns[c] = true
	}
	w.OnHead = func(r *http.Request) error {
		if r.URL.Path != poison || r.Header.Get("X-Expect-Instance") != w.ID {
			return nil
		}
		f.mu.Lock()
		f.runsAt = append(f.runsAt, time.Now())
		f.mu.Unlock()
		if !harness.Trouble() {
			return nil
		}
		w.Run(r)
		time.Sleep(crashAfter)
		f.d.Record.Line("worker %s crashes", w.ID)
		w.Close()
		mu.Lock()
		for c := range conns {
			c.Close()
		}
		mu.Unlock()
		time.AfterFunc(backAfter, func() {
			f.d.Store.Remove("servers", w.ID)
			f.add()
		})
		return io.EOF
	}
	w.Start()
}

func play(d *harness.Deployment) int {
	d.Configure(7, harness.Route{Prefix: unsafe, Kind: "unsafe", Service: service, Timeout: deadline.Seconds(), Latency: 0.3})
	f := &fleet{d: d}
	for range workers {
		f.add()
	}
	var vms []*harness.VM
	for zone := range harness.Zones {
		vms = append(vms, d.AddVM(zone, ""))
	}
	for _, v := range vms {
		v.AwaitReady()
	}
	time.Sleep(4 * time.Second) // no worker is cold any more, and the VMs are in touch

	// "Such a request comes again, with the same path, caller and body, at any machine."
	sent, refused := 0, 0
	for end := time.Now().Add(playTime); time.Now().Before(end); sent++ {
		if status := send(d, vms[sent%len(vms)], sent); status == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(every)
	}
	runs, late := f.count(), f.late()
	if !harness.Trouble() {
		d.Record.Say("the request came %d times and ran %d times; no worker crashed", sent, runs)
		if runs < sent {
			return harness.NotRun
		}
		return harness.Held
	}
	d.Record.Say("the request came %d times, was refused %d times and crashed %d workers; %d times later than %v after it had crashed the third (%d are allowed)",
		sent, refused, runs, late, stableWindow, allowed)
	switch {
	case runs == 0:
		return harness.NotRun
	case late > allowed:
		return harness.Broken
	}
	return harness.Held
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runsAt)
}

// late counts the runs later than stableWindow after the third.
func (f *fleet) late() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !harness.Trouble() {
		return 0
	}
	for i, at := range f.runsAt {
		if i > 2 && at.Sub(f.runsAt[2]) > stableWindow {
			n++
		}
	}
	return n
}

// slowBody is a body that comes over a slow link, if SLOW is not 0.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, pieceBytes)
	for i := range n {
		p[i] = 'x'
	}
	if b.left < bodyBytes && os.Getenv("SLOW") != "0" {
		time.Sleep(roundTrip)
	}
	b.left -= n
	return n, nil
}

// send sends the request and returns the status, 0 without an answer.
func send(d *harness.Deployment, v *harness.VM, n int) int {
	id := fmt.Sprintf("p%05d", n)
	req, err := http.NewRequest(http.MethodPost, "http://"+v.Front+poison+"?ms=5", &slowBody{bodyBytes})
	if err != nil {
		harness.Fail("%v", err)
	}
	req.ContentLength = bodyBytes
	req.Host = harness.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+harness.Key)
	d.Record.Line("client sends %s to %s, %d bytes", id, v.ID, bodyBytes)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := (&http.Client{Transport: t, Timeout: deadline + time.Second}).Do(req)
	if err != nil {
		d.Record.Line("client gets no answer to %s: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.Record.Line("client gets %d for %s: %q", resp.StatusCode, id, text)
	return resp.StatusCode
}
