// Case 2: a worker runs an unsafe request and fails with a 503 that does not say "not executed" and whose body
// is long or has no end. The client is told 503, which promises that the request has not run. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"crocusramp.dev/crocusramp/review/harness"
)

const (
	service  = "huvo11a"
	unsafe   = "/pufi791/"
	requests = 400
	// One of the workers is faulty and fails one in failEach of the requests that it runs.
	workers  = 8
	failEach = 5
	longBody = 3 << 20
	piece    = 32 << 10
	// A client reads no more than this of a refusal.
	maxRefusal = 4 << 20
)

func main() {
	d := harness.New(os.Args[1])
	code := play(d)
	d.Close()
	os.Exit(code)
}

func play(d *harness.Deployment) int {
	d.Configure(7, harness.Route{Prefix: unsafe, Kind: "unsafe", Service: service, Timeout: 2})
	faulty := d.AddWorker("i-faulty", service, "ploiesti-a", 9, 27)
	all := []*harness.Worker{faulty}
	for i := range workers - 1 {
		all = append(all, d.AddWorker(fmt.Sprint("i-sound-", i+1), service, "ploiesti-a", 9, 27))
	}
	ran, failed := 0, 0 // requests come one at a time
	faulty.Hook = func(c *harness.Conn, r *http.Request, body []byte) (bool, error) {
		if !harness.Trouble() || r.URL.Path == "/health" || r.Header.Get("X-Expect-Instance") != faulty.ID {
			return false, nil
		}
		if ran++; ran%failEach != 0 {
			return false, nil
		}
		failed++
		id := r.Header.Get("X-Attempt-Id")
		faulty.Run(r)
		time.Sleep(20 * time.Millisecond)
		endless := failed%2 == 0
		d.Record.Line("worker %s fails %s with 503, without X-Not-Executed; its body has no end: %v", faulty.ID, id, endless)
		if !endless {
			_, err := c.Write(harness.Bytes(id, 503, "", strings.Repeat("x", longBody)))
			return true, err
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id); err != nil {
			return true, err
		}
		for { // until the caller closes
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", piece, strings.Repeat("x", piece)); err != nil {
				d.Record.Line("worker %s: the caller has closed the connection of %s", faulty.ID, id)
				return true, err
			}
			time.Sleep(time.Millisecond)
		}
	}
	vm := d.AddVM("ploiesti-a", "")
	d.AddVM("cluj-a", "").AwaitReady()
	d.AddVM("iasi-a", "").AwaitReady()
	vm.AwaitReady()
	time.Sleep(4 * time.Second) // no worker is cold any more

	whole, cut, other, began := 0, 0, 0, time.Now()
	for i := range requests {
		r := d.SendLimited(vm, http.MethodPost, unsafe+"stamp?ms=5", fmt.Sprint(i%40), 2500*time.Millisecond, maxRefusal)
		runs := 0
		for _, w := range all {
			runs += w.Runs(r.ID)
		}
		switch {
		case runs == 0 || r.Status != http.StatusServiceUnavailable && r.Status != http.StatusTooManyRequests:
			if r.Status != http.StatusOK {
				other++
			}
			continue
		case r.Err == nil:
			whole++
		default:
			cut++
		}
		d.Record.Say("REFUSED: unsafe request %s was answered %d and has run (%d times, %d of them at %s)", r.ID, r.Status, runs, faulty.Runs(r.ID), faulty.ID)
	}
	d.Record.Say("%d unsafe requests; the faulty worker ran %d and failed %d; of those %d were answered 503 with a whole body and %d with one that was cut off or too long; %d requests ended with another failure; all in %.1f s",
		requests, ran, failed, whole, cut, other, time.Since(began).Seconds())
	if whole+cut > 0 {
		return harness.Broken
	}
	if harness.Trouble() && failed == 0 {
		return harness.NotRun
	}
	return harness.Held
}
