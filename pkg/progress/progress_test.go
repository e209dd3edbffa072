package progress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// get reads a response of a server that sends a byte each pause, n times, and returns its size.
func get(t *testing.T, pause time.Duration, n int, stall, total time.Duration) (int, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range n {
			_, _ = w.Write([]byte("x")) // after an error, the context of the request ends
			w.(http.Flusher).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer server.Close()
	ctx := WithTimeout(context.Background(), time.Second)
	defer ctx.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(ctx.Reader(resp.Body, stall, total))
	return len(body), err
}

func TestReader(t *testing.T) {
	const long = time.Minute
	for _, tt := range []struct {
		name                string
		pause, stall, total time.Duration
		complete            bool
	}{
		{"slow", 30 * time.Millisecond, time.Second, long, true},
		{"longer than the first timeout", 150 * time.Millisecond, time.Second, long, true},
		{"stalls", long, 100 * time.Millisecond, long, false},
		{"without end", 30 * time.Millisecond, time.Second, 150 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n, err := get(t, tt.pause, 10, tt.stall, tt.total)
			if (err == nil && n == 10) != tt.complete || (err != nil && !errors.Is(err, context.DeadlineExceeded)) {
				t.Errorf("%d bytes, %v; want complete %v", n, err, tt.complete)
			}
		})
	}
}

func TestErr(t *testing.T) {
	parent, cancel := context.WithCancel(context.Background())
	late, cancelled := WithTimeout(context.Background(), time.Millisecond), WithTimeout(parent, time.Minute)
	<-late.Done()
	late.Extend(time.Minute)
	cancel()
	if !errors.Is(late.Err(), context.DeadlineExceeded) || !errors.Is(cancelled.Err(), context.Canceled) {
		t.Errorf("%v, %v; want a deadline and a cancellation", late.Err(), cancelled.Err())
	}
	cancelled.Stop()
}
