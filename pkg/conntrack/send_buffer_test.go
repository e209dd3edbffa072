package conntrack

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestIdleTimeBeginsWhenResponseHasArrived guards against a connection that is closed as idle although its
// caller has just received the response: on a slow link, a long response waits in the send buffer.
func TestIdleTimeBeginsWhenResponseHasArrived(t *testing.T) {
	const size, receiveBuffer = 128 << 10, 4 << 10
	tracker, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			if err := FromContext(r.Context()).(*Conn).SetWriteBuffer(2 * size); err != nil {
				t.Error(err)
			}
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
			return
		}
		fmt.Fprint(w, "ok")
	}))
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	for end := time.Now().Add(10 * time.Second); tracker.count(stateIdle) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the response does not fit into the send buffer")
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
