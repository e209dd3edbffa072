// Command 13 lets the store perform a heartbeat of a worker seconds late, after the worker has reported that it
// drains, and looks for requests that reach the worker afterwards.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	lab "crocusramp.dev/crocusramp/review/lab3"
)

const (
	stableWindow = 3 * time.Second
	drain        = 2 * time.Second
	// lostFor is how long the store loses answers, late how much later it performs such a write.
	lostFor, late = time.Second, 5900 * time.Millisecond
	// afterStable is how long after the store is stable again the worker reports that it drains.
	afterStable = 200 * time.Millisecond
	// work is how long a stamp takes, leaveAfter how long a worker that drains serves on after drain_s.
	work, leaveAfter = 480 * time.Millisecond, 800 * time.Millisecond
	period           = 50 * time.Millisecond
)

func main() { lab.Main(play) }

func play(d *lab.Deployment, trouble bool) (bool, error) {
	var workers []*lab.Worker
	for i := range 4 {
		w := &lab.Worker{ID: fmt.Sprint("i-", i), Service: "registry", Zone: "one-a", Slots: 9, Queue: 27, Work: work}
		if err := d.StartWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := d.Configure(map[string]any{
		"version": "00000007",
		"routes": []any{
			map[string]any{"name": "stamp", "host": lab.Host, "prefix": "/stamp/", "kind": "unsafe", "timeout_s": 0.8, "target_latency_s": 0.3, "priority": 1, "service": "registry", "max_attempts": 2},
		},
		"services": []any{map[string]any{"name": "registry", "health_path": "/health", "max_connections": 360, "cold_start_s": 0.5, "cold_per_s": 15}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}); err != nil {
		return false, err
	}
	var vms []*lab.VM
	for i, zone := range []string{"one-a", "one-b"} {
		v, err := d.StartVM(fmt.Sprint("vm-", i), zone, nil)
		if err != nil {
			return false, err
		}
		vms = append(vms, v)
	}
	time.Sleep(5 * time.Second) // the machines are in touch, no worker is cold
	w := workers[0]

	performed := lateBeat(d, w, trouble)
	time.Sleep(lostFor + stableWindow + afterStable)
	w.SetState("draining")
	ack := d.Now()
	d.Note("the store, which has been stable for %v, acknowledges that %s is draining", stableWindow+afterStable, w.ID)

	time.AfterFunc(drain+leaveAfter, func() {
		w.Exit()
		d.Store.Remove("servers", w.ID)
		d.Note("%s exits and leaves the list", w.ID)
	})
	// Nobody sends until drain_s has passed.
	time.Sleep(drain + 50*time.Millisecond)
	sent := send(d, vms, 3*time.Second)
	<-performed
	reached, lost := 0, 0
	for _, a := range w.Arrivals() {
		r, ok := sent[a.ID]
		if !ok || r.Sent <= ack+drain {
			continue
		}
		reached++
		if r.Status != http.StatusOK {
			lost++
		}
		d.Note("%s reached %s at %.3f s, %.3f s after the acknowledgement; the client got %v", a.ID, w.ID, a.At.Seconds(), (a.At - ack).Seconds(), r)
	}
	d.Note("%d requests that were sent later than drain_s after the acknowledgement reached %s; %d of them were lost", reached, w.ID, lost)
	return reached == 0, nil
}

// lateBeat writes a heartbeat of the worker. In trouble the store gives no answer and performs it late. The channel
// is closed when it is performed.
func lateBeat(d *lab.Deployment, w *lab.Worker, trouble bool) <-chan struct{} {
	done := make(chan struct{})
	if !trouble {
		w.Write()
		close(done)
		return done
	}
	entry := w.Entry()
	d.Note("the store loses answers for %v: it gives none to an entry of %s, which is ready", lostFor, w.ID)
	time.AfterFunc(late, func() {
		d.Store.Put("servers", w.ID, entry)
		d.Note("the store performs that write: %s", entry)
		close(done)
	})
	return done
}

// send sends requests to all VMs for a time and returns the replies by ID.
func send(d *lab.Deployment, vms []*lab.VM, during time.Duration) map[string]lab.Reply {
	var group sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]lab.Reply{}
	for i := range int(during / period) {
		group.Go(func() {
			r := d.Send(lab.Request{VM: vms[i%len(vms)], Method: http.MethodPost, Path: fmt.Sprint("/stamp/", i), Object: fmt.Sprint(i), Body: []byte("stamp"), Timeout: 2500 * time.Millisecond})
			d.Note("stamp %v", r)
			mu.Lock()
			defer mu.Unlock()
			replies[r.ID] = r
		})
		time.Sleep(period)
	}
	group.Wait()
	return replies
}
