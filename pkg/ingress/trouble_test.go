package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestLateCopyOfARefusalDoesNotAnswerTheRepeat guards against a copy of a refusal that comes on
// a connection which carries the repeat of the same request: the repeat runs, and its caller
// would be told that the request has not.
func TestLateCopyOfARefusalDoesNotAnswerTheRepeat(t *testing.T) {
	w := newWorld(t)
	const warmUp = 20 // requests after which the target is known to run some
	var requests, copies atomic.Int64
	w.raw("i-1", "fd-e", func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		last := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get(hID)
			refusal := fmt.Sprintf("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Load: 0\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			switch {
			case requests.Add(1) == warmUp+1:
				_, _ = io.WriteString(c, refusal)
			case id == last:
				copies.Add(1)
				_, _ = io.WriteString(c, refusal)
				fallthrough
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok", id)
			}
			last = id
		}
	})
	for range warmUp {
		w.expect(200, "GET", "/once/x")
	}
	w.expect(200, "GET", "/once/x")
	if copies.Load() > 0 {
		t.Error("a request was repeated on the connection that had carried it")
	}
}
