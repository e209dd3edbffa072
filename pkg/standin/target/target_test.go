package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds how long a test waits for a condition or a response.
const waitTimeout = 20 * time.Second

// client opens a new connection for each request, so that no idle connection
// fails the goroutine leak check.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}

func send(t *testing.T, url, id string, body io.Reader) (*http.Response, responseBody, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/filing?q=1", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerRequestID, id)
	r.Header.Set("Idempotency-Key", "idem-"+id)
	r.Header.Set(defaultAccountHeader, "aretusa")
	resp, err := client.Do(r)
	if err != nil {
		return nil, responseBody{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var a responseBody
	if resp.StatusCode == http.StatusOK && err == nil {
		err = json.Unmarshal(data, &a)
	}
	return resp, a, err
}

func TestResponseAndLedger(t *testing.T) {
	s := New(Config{Name: "t1"})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	resp, a, err := send(t, server.URL, "r1", strings.NewReader("12345"))
	if err != nil || a.Target != "t1" || a.RequestID != "r1" || a.BodyBytes != 5 || a.Path != "/filing" || a.Account != "aretusa" {
		t.Fatalf("response %+v, error %v", a, err)
	}
	if got := resp.Header.Get(headerRequestID); got != "r1" {
		t.Errorf("echoed request ID %q, want r1", got)
	}
	waitEndings(t, s, EndingDone)
	r := s.Ledger().Record()
	if r.IdempotencyKeys["idem-r1"] != 1 || r.KeysSeen != 0 {
		t.Errorf("ledger %+v, want one run of idem-r1 and no key seen", r)
	}
}

func TestShedsAboveSlots(t *testing.T) {
	s := New(Config{Name: "t1", Slots: 2, ServiceTime: 300 * time.Millisecond})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	var wg sync.WaitGroup
	var mu sync.Mutex
	shed := 0
	for range 6 {
		wg.Go(func() {
			resp, _, err := send(t, server.URL, "r", nil)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if resp.Header.Get(headerRequestID) != "r" {
				t.Error("the response does not echo the request ID")
			}
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerShed) == shedNotRun {
				shed++
			}
		})
	}
	wg.Wait()
	r := s.Ledger().Record()
	if r.PeakRunning > 2 || r.Shed != shed || len(r.Entries)+shed != 6 {
		t.Errorf("peak %d running, %d shed of which callers saw %d, %d ran; want at most 2 running, equal shed counts and 6 in total", r.PeakRunning, r.Shed, shed, len(r.Entries))
	}
}

func TestScannerFindsKeysAcrossChunks(t *testing.T) {
	for _, offset := range []int{0, bodyChunkBytes - 2, bodyChunkBytes - 1, 3*bodyChunkBytes - 3} {
		s := newScanner("")
		size, err := s.scanBody(strings.NewReader(strings.Repeat("x", offset) + "crk_abc"))
		if err != nil || size != int64(offset+7) || !s.keySeen {
			t.Errorf("key after %d bytes: size %d, key seen %v, error %v", offset, size, s.keySeen, err)
		}
	}
	s := newScanner("")
	if _, err := s.scanBody(strings.NewReader(strings.Repeat("crk", 40000))); err != nil || s.keySeen {
		t.Errorf("body without a key: key seen %v, error %v", s.keySeen, err)
	}
}

func TestResponseFaults(t *testing.T) {
	s := New(Config{Name: "t1"})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	s.SetFaults(Faults{Truncate: 1})
	if _, _, err := send(t, server.URL, "r1", nil); err == nil {
		t.Error("truncated response was read without an error")
	}
	s.SetFaults(Faults{LoseResponses: 1})
	if _, _, err := send(t, server.URL, "r2", nil); err == nil {
		t.Error("lost response arrived")
	}
	s.SetFaults(Faults{Cross: 1})
	resp, a, err := send(t, server.URL, "r3", nil)
	if err != nil || a.RequestID == "r3" || resp.Header.Get(headerRequestID) == "r3" {
		t.Errorf("response carries the ID of its own request: %+v, error %v", a, err)
	}
	waitEndings(t, s, EndingTruncated, EndingLost, EndingCrossed)
}

// waitEndings waits until the requests in the ledger have the endings in want. A
// response can arrive before the ledger records the request's ending.
func waitEndings(t *testing.T, s *Server, want ...Ending) {
	t.Helper()
	waitFor(t, func() bool {
		return slices.EqualFunc(s.Ledger().Record().Entries, want, func(e Entry, w Ending) bool { return e.Ending == w })
	})
}

func TestCrashMarkerClosesListenerUntilRestart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Name: "t1"})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	url := "http://" + l.Addr().String()
	s.SetFaults(Faults{CrashMarker: "poison"})
	if _, _, err := send(t, url, "r1", strings.NewReader("some poison here")); err == nil {
		t.Error("the request that crashed the target got a response")
	}
	if _, _, err := send(t, url, "r2", nil); err == nil {
		t.Error("a crashed target responded")
	}
	s.Restart()
	deadline := time.Now().Add(waitTimeout)
	for {
		if _, a, err := send(t, url, "r3", nil); err == nil && a.RequestID == "r3" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("target does not respond after its restart")
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, func() bool { return s.Ledger().Record().Entries[0].Ending == EndingCrashed })
	s.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

func TestCancelledRequestReleasesSlot(t *testing.T) {
	s := New(Config{Name: "t1", Slots: 1, ServiceTime: time.Hour})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	ended := make(chan struct{})
	go func() { _, _ = client.Do(r); close(ended) }()
	waitFor(t, func() bool { return s.visibleReport(time.Now()).running == 1 })
	cancel()
	<-ended
	waitFor(t, func() bool { return s.visibleReport(time.Now()).running == 0 })
	waitEndings(t, s, EndingCancelled)
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

func TestReportLagAndReportRunning(t *testing.T) {
	s := New(Config{Name: "t1", ReportLag: time.Minute, ColdRequests: 1, ColdFactor: 2})
	start := time.Now()
	s.SetFaults(Faults{Draining: true})
	if got := s.visibleReport(start).state; got != StateCold {
		t.Errorf("before the lag: state %q, want cold", got)
	}
	if got := s.visibleReport(start.Add(2 * time.Minute)).state; got != StateDraining {
		t.Errorf("after the lag: state %q, want draining", got)
	}
	reported := 7
	s.SetFaults(Faults{ReportRunning: &reported})
	if got := s.visibleReport(start.Add(2 * time.Minute)).running; got != reported {
		t.Errorf("reported %d running, want 7", got)
	}
}
