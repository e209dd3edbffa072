package conntrack

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestIdleTimeBeginsWhenResponseHasArrived guards against a connection that is closed as idle although its
// caller has just received the response: on a slow link, a long response waits in the send buffer.
func TestIdleTimeBeginsWhenResponseHasArrived(t *testing.T) {
	const size = 1 << 20
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
			return
		}
		fmt.Fprint(w, "ok")
	}))
	c := dial(t, address)
	fmt.Fprint(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	for end := time.Now().Add(time.Second); tracker.count(stateIdle) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Skip("the response does not fit into the buffers of this system")
		}
	}
	tracker.CloseExpired(time.Second, time.Now().Add(time.Minute))
	time.Sleep(50 * time.Millisecond)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(in, nil); err != nil {
		t.Errorf("the next request, sent as soon as the response had arrived: %v", err)
	}
}
